package load

import (
	"container/heap"
	"time"
)

// slotHeap holds the times at which slots become free, those of faster slots first at equal times.
type slotHeap []slotTime

type slotTime struct {
	free     time.Duration
	slowness float64
}

func (h slotHeap) Len() int      { return len(h) }
func (h slotHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h slotHeap) Less(i, k int) bool {
	if h[i].free != h[k].free {
		return h[i].free < h[k].free
	}
	return h[i].slowness < h[k].slowness
}

// Push adds a slot.
func (h *slotHeap) Push(x any) { *h = append(*h, x.(slotTime)) }

// Pop removes the last slot.
func (h *slotHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// bound returns the latencies that one pooled first-come-first-served queue before all slots would give
// the same arrivals, with no network between: the fastest free slot takes the next request.
func bound(arrivals []arrival, slots int, slowness []float64) []time.Duration {
	var free slotHeap
	for _, s := range slowness {
		for range slots {
			free = append(free, slotTime{slowness: s})
		}
	}
	heap.Init(&free)
	out := make([]time.Duration, len(arrivals))
	for i, a := range arrivals {
		slot := takeFastest(&free, a.at)
		start := max(slot.free, a.at)
		end := start + time.Duration(float64(a.work)*slot.slowness)
		out[i] = end - a.at
		heap.Push(&free, slotTime{free: end, slowness: slot.slowness})
	}
	return out
}

// takeFastest removes the fastest slot that is free at a time, or the one that is free next.
func takeFastest(free *slotHeap, at time.Duration) slotTime {
	best := -1
	for i, s := range *free {
		if s.free <= at && (best < 0 || s.slowness < (*free)[best].slowness) {
			best = i
		}
	}
	if best < 0 {
		return heap.Pop(free).(slotTime)
	}
	return heap.Remove(free, best).(slotTime)
}
