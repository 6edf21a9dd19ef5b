package pick

import "github.com/bergamotrun/bergamotrun/internal/flow"

// sampleWeight is the weight of a new flow in the moving average, which thus spans about ten flows.
const sampleWeight = 0.1

// LifetimeEstimator estimates whether the flows of a route carry many requests. The zero value assumes that they do,
// because placement then spreads flows evenly until flows have been observed. It isn't safe for concurrent use.
type LifetimeEstimator struct {
	// singleFraction is the moving average of the fraction of flows that ended after one request.
	singleFraction float64
}

// RecordSingle records that a flow has ended after at most one request.
func (e *LifetimeEstimator) RecordSingle() { e.singleFraction += sampleWeight * (1 - e.singleFraction) }

// RecordReused records that a flow has begun its second request.
func (e *LifetimeEstimator) RecordReused() { e.singleFraction -= sampleWeight * e.singleFraction }

// LongLived reports whether flows of the route carry many requests.
func (e *LifetimeEstimator) LongLived() bool { return e.singleFraction < 0.5 }

// RequestCounter counts the requests on a flow from the client's packets alone. The zero value is a flow without requests.
type RequestCounter struct {
	requests int
	// nextSeq is the sequence number after the client's last byte, ackNumber the acknowledgement with which the newest request
	// began.
	nextSeq, ackNumber uint32
}

// Record records a client's packet and returns the number of requests so far. New bytes begin a request if the client has
// received bytes of the server since the request before began. A flow that waits for its response isn't in use for longer by that.
func (c *RequestCounter) Record(h flow.Header) int {
	end := h.Seq + uint32(h.Len)
	if h.Len == 0 || (c.requests > 0 && int32(end-c.nextSeq) <= 0) {
		return c.requests
	}
	c.nextSeq = end
	if c.requests == 0 || int32(h.AckNumber-c.ackNumber) > 0 {
		c.requests++
		c.ackNumber = h.AckNumber
	}
	return c.requests
}
