package contr

// Headers that callers and the system use besides those of HTTP.
const (
	// HeaderTicket carries the ticket of a request that is not idempotent.
	HeaderTicket = "Bergamot-Ticket"
	// HeaderTimeout carries how long the caller waits, as a duration such as "1.5s".
	HeaderTimeout = "Bergamot-Timeout"
	// HeaderRun tells in an answer that is the system's own what became of the request; see the Run values.
	HeaderRun = "Bergamot-Run"
	// HeaderArrival tells "not-run" where this arrival of a request with a ticket certainly has not run,
	// though it is unknown whether an earlier one has.
	HeaderArrival = "Bergamot-Arrival"
	// HeaderReplayed marks an answer that was kept from the request's first arrival.
	HeaderReplayed = "Bergamot-Replayed"
	// TicketPath is where a caller gets tickets: one a line, as many as the query parameter n asks for.
	TicketPath = "/.well-known/bergamot/tickets"
	// MaxTickets is the largest number of tickets that one request gets.
	MaxTickets = 64
)

// The values of HeaderRun.
const (
	// RunNot says that the request did not run.
	RunNot = "not-run"
	// RunRunning says that the request with this ticket runs now.
	RunRunning = "running"
	// RunUnknown says that the request may have run, and will not be run again under its ticket.
	RunUnknown = "unknown"
)
