package contr

// Headers and other parts of the HTTP interface between callers and bergamotrun.
const (
	// HeaderTicket carries the ticket of a request that is not idempotent.
	HeaderTicket = "Bergamot-Ticket"
	// HeaderTimeout carries the timeout of the caller, as a duration such as "1.5s".
	HeaderTimeout = "Bergamot-Timeout"
	// HeaderRun marks a response that bergamotrun itself generated. It says whether the request has run; see the Run
	// constants.
	HeaderRun = "Bergamot-Run"
	// HeaderArrival is "not-run" if this arrival of a request with a ticket has certainly not run, though it is unknown
	// whether an earlier arrival has.
	HeaderArrival = "Bergamot-Arrival"
	// HeaderReplayed marks a response that was stored at the first arrival of a request and is replayed to a repetition.
	HeaderReplayed = "Bergamot-Replayed"
	// TicketPath is the path that issues tickets, one per line. The query parameter n is their number.
	TicketPath = "/.well-known/bergamot/tickets"
	// MaxTickets is the maximum number of tickets per request.
	MaxTickets = 64
)

// Values of HeaderRun.
const (
	// RunNot means that the request has not run.
	RunNot = "not-run"
	// RunRunning means that the request with this ticket is running.
	RunRunning = "running"
	// RunUnknown means that the request may have run. It will not be run again with its ticket.
	RunUnknown = "unknown"
)
