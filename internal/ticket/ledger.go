package ticket

const (
	// window is how many of the last serials the ledger tells apart; older ones count as used.
	window = 1 << 20
	// maxAnswers and maxAnswerBytes bound the answers that are kept for repeats.
	maxAnswers     = 4096
	maxAnswerBytes = 16 << 20
	// MaxResponseSize is the largest answer, in bytes, that is kept.
	MaxResponseSize = 64 << 10

	wordBits = 64
)

// Status is what the ledger knows of a ticket.
type Status uint8

// The states of a ticket.
const (
	// Unused is a ticket that has not been used; Begin has just made it used.
	Unused Status = iota + 1
	// Running is a ticket whose request runs.
	Running
	// Completed is a ticket whose request has run and whose answer is held.
	Completed
	// OutcomeUnknown is a ticket whose request has run, or may have, and whose answer is not held.
	OutcomeUnknown
	// NotIssued is a serial that this ledger has not given out.
	NotIssued
)

// Response is a whole answer that is kept for repeats.
type Response struct {
	StatusCode int
	Header     map[string][]string
	Body       []byte
}

// Ledger records which serials of one incarnation were used. Its owner serializes access.
// It guarantees that Begin returns Fresh at most once for a serial, unless Release was called for it.
type Ledger struct {
	next    uint64
	used    []uint64
	running map[uint64]struct{}
	answers map[uint64]Response
	order   []uint64
	bytes   int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		used:    make([]uint64, window/wordBits),
		running: make(map[uint64]struct{}),
		answers: make(map[uint64]Response),
	}
}

// Issue returns the first of n new serials.
func (l *Ledger) Issue(n int) uint64 {
	first := l.next
	for range n {
		l.clear(l.next)
		l.next++
	}
	return first
}

// Begin asks to run the request of a serial. Only after Fresh may it run.
func (l *Ledger) Begin(serial uint64) (Status, Response) {
	if serial >= l.next {
		return NotIssued, Response{}
	}
	if _, ok := l.running[serial]; ok {
		return Running, Response{}
	}
	if a, ok := l.answers[serial]; ok {
		return Completed, a
	}
	if serial+window < l.next || l.isUsed(serial) {
		return OutcomeUnknown, Response{}
	}
	l.mark(serial)
	l.running[serial] = struct{}{}
	return Unused, Response{}
}

// Complete notes that the request of a serial has ended with an answer that repeats may get.
func (l *Ledger) Complete(serial uint64, answer Response) {
	delete(l.running, serial)
	if len(answer.Body) > MaxResponseSize {
		return
	}
	l.answers[serial] = answer
	l.order = append(l.order, serial)
	l.bytes += len(answer.Body)
	for len(l.order) > maxAnswers || l.bytes > maxAnswerBytes {
		l.evict()
	}
}

// Fail notes that the request of a serial has ended without a whole answer; it stays used.
func (l *Ledger) Fail(serial uint64) { delete(l.running, serial) }

// Release notes that the request of a serial is known not to have run: the ticket may be used again.
func (l *Ledger) Release(serial uint64) {
	if _, ok := l.running[serial]; !ok {
		return
	}
	delete(l.running, serial)
	if serial+window >= l.next {
		l.clear(serial)
	}
}

// Running returns the number of requests that run.
func (l *Ledger) Running() int { return len(l.running) }

func (l *Ledger) evict() {
	oldest := l.order[0]
	l.order = l.order[1:]
	l.bytes -= len(l.answers[oldest].Body)
	delete(l.answers, oldest)
}

func (l *Ledger) isUsed(serial uint64) bool {
	word, bit := position(serial)
	return l.used[word]&bit != 0
}

func (l *Ledger) mark(serial uint64) {
	word, bit := position(serial)
	l.used[word] |= bit
}

func (l *Ledger) clear(serial uint64) {
	word, bit := position(serial)
	l.used[word] &^= bit
}

func position(serial uint64) (word int, bit uint64) {
	at := serial % window
	return int(at / wordBits), 1 << (at % wordBits)
}
