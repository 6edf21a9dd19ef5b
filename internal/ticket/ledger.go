package ticket

const (
	// serialWindow is the number of newest serials whose use is recorded. Older serials count as used.
	serialWindow = 1 << 20
	// maxResponses and maxResponseBytes bound the number of stored responses and the total size of their bodies.
	maxResponses     = 4096
	maxResponseBytes = 16 << 20
	// MaxResponseSize is the largest body, in bytes, of a stored response.
	MaxResponseSize = 64 << 10

	bitsPerWord = 64
)

// Status is the state of a ticket's request.
type Status uint8

// The statuses that Begin returns.
const (
	// Unused means that the ticket had not been used before this call, which has marked it as used.
	Unused Status = iota + 1
	// Running means that the request is in progress.
	Running
	// Completed means that the request has run and its response is stored.
	Completed
	// OutcomeUnknown means that the request has run or may have run, and no response is stored.
	OutcomeUnknown
	// NotIssued means that this ledger has not issued the serial.
	NotIssued
)

// Response is a complete HTTP response, stored to be replayed for repeated requests.
type Response struct {
	StatusCode int
	Header     map[string][]string
	Body       []byte
}

// Ledger records which serials of one incarnation were used. It is not safe for concurrent use.
// Begin returns Unused at most once for a serial, unless Release was called for it.
type Ledger struct {
	nextSerial uint64
	// used is a bitmap of the last serialWindow serials, indexed by the serial modulo serialWindow.
	used      []uint64
	running   map[uint64]struct{}
	responses map[uint64]Response
	// evictionOrder has the serials in responses, oldest response first.
	evictionOrder []uint64
	// responseBytes is the total size of the stored bodies.
	responseBytes int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		used:      make([]uint64, serialWindow/bitsPerWord),
		running:   make(map[uint64]struct{}),
		responses: make(map[uint64]Response),
	}
}

// Issue issues n consecutive serials and returns the first.
func (l *Ledger) Issue(n int) uint64 {
	first := l.nextSerial
	for range n {
		l.clear(l.nextSerial)
		l.nextSerial++
	}
	return first
}

// Begin returns the status of a serial. The request may run only if the status is Unused; the serial is then marked as used
// and running. The response is set only with Completed.
func (l *Ledger) Begin(serial uint64) (Status, Response) {
	if serial >= l.nextSerial {
		return NotIssued, Response{}
	}
	if _, ok := l.running[serial]; ok {
		return Running, Response{}
	}
	if response, ok := l.responses[serial]; ok {
		return Completed, response
	}
	if serial+serialWindow < l.nextSerial || l.isUsed(serial) {
		return OutcomeUnknown, Response{}
	}
	l.markUsed(serial)
	l.running[serial] = struct{}{}
	return Unused, Response{}
}

// Complete records that the request of a serial has ended, and stores its response unless that is too large.
func (l *Ledger) Complete(serial uint64, response Response) {
	delete(l.running, serial)
	if len(response.Body) > MaxResponseSize {
		return
	}
	l.responses[serial] = response
	l.evictionOrder = append(l.evictionOrder, serial)
	l.responseBytes += len(response.Body)
	for len(l.evictionOrder) > maxResponses || l.responseBytes > maxResponseBytes {
		l.evictOldest()
	}
}

// Fail records that the request of a serial has ended without a complete response. The serial stays used.
func (l *Ledger) Fail(serial uint64) { delete(l.running, serial) }

// Release records that the request of a running serial did not run. The ticket may be used again.
func (l *Ledger) Release(serial uint64) {
	if _, ok := l.running[serial]; !ok {
		return
	}
	delete(l.running, serial)
	if serial+serialWindow >= l.nextSerial {
		l.clear(serial)
	}
}

// Running returns the number of requests in progress.
func (l *Ledger) Running() int { return len(l.running) }

func (l *Ledger) evictOldest() {
	oldest := l.evictionOrder[0]
	l.evictionOrder = l.evictionOrder[1:]
	l.responseBytes -= len(l.responses[oldest].Body)
	delete(l.responses, oldest)
}

func (l *Ledger) isUsed(serial uint64) bool {
	word, bit := bitPosition(serial)
	return l.used[word]&bit != 0
}

func (l *Ledger) markUsed(serial uint64) {
	word, bit := bitPosition(serial)
	l.used[word] |= bit
}

func (l *Ledger) clear(serial uint64) {
	word, bit := bitPosition(serial)
	l.used[word] &^= bit
}

// bitPosition returns the index of a serial's word in the bitmap and the serial's bit in it.
func bitPosition(serial uint64) (word int, bit uint64) {
	index := serial % serialWindow
	return int(index / bitsPerWord), 1 << (index % bitsPerWord)
}
