package load

import (
	"container/heap"
	"time"
)

// slotHeap is a heap of slots, ordered by the time at which they become free and then by speed.
type slotHeap []serverSlot

// serverSlot is a slot of a server, which runs one request at a time.
type serverSlot struct {
	freeAt   time.Duration
	slowness float64
}

func (h slotHeap) Len() int      { return len(h) }
func (h slotHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h slotHeap) Less(i, k int) bool {
	if h[i].freeAt != h[k].freeAt {
		return h[i].freeAt < h[k].freeAt
	}
	return h[i].slowness < h[k].slowness
}

// Push implements heap.Interface.
func (h *slotHeap) Push(x any) { *h = append(*h, x.(serverSlot)) }

// Pop implements heap.Interface.
func (h *slotHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// pooledQueueLatencies returns the latency of each arrival if all slots shared one first-come-first-served queue, without
// a network. The fastest free slot takes the next request.
func pooledQueueLatencies(arrivals []arrival, slotsPerServer int, slowness []float64) []time.Duration {
	var slots slotHeap
	for _, s := range slowness {
		for range slotsPerServer {
			slots = append(slots, serverSlot{slowness: s})
		}
	}
	heap.Init(&slots)
	latencies := make([]time.Duration, len(arrivals))
	for i, a := range arrivals {
		assigned := takeFastest(&slots, a.at)
		start := max(assigned.freeAt, a.at)
		end := start + time.Duration(float64(a.serviceTime)*assigned.slowness)
		latencies[i] = end - a.at
		heap.Push(&slots, serverSlot{freeAt: end, slowness: assigned.slowness})
	}
	return latencies
}

// takeFastest removes the fastest slot that is free at a time. If none is free, it removes the next one to become free.
func takeFastest(slots *slotHeap, at time.Duration) serverSlot {
	fastest := -1
	for i, s := range *slots {
		if s.freeAt <= at && (fastest < 0 || s.slowness < (*slots)[fastest].slowness) {
			fastest = i
		}
	}
	if fastest < 0 {
		return heap.Pop(slots).(serverSlot)
	}
	return heap.Remove(slots, fastest).(serverSlot)
}
