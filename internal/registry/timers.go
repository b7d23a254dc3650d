package registry

import (
	"container/heap"
	"time"
)

// timers finds expired items without visiting all of them. Most calls are renewals, and a renewal does not
// move a timer in the queue. The timer is queued again under its present deadline once the deadline under
// which it is queued has passed. The present deadline is never before the queued deadline.
type timers[T any] struct {
	byName map[string]*timer[T]
	queue  timerQueue[T] // ordered by queuedDeadline
}

// timer is the deadline of a named value. index is the timer's place in the queue.
type timer[T any] struct {
	value          T
	name           string
	ttl, deadline  time.Duration
	queuedDeadline time.Duration
	index          int
}

func newTimers[T any]() timers[T] { return timers[T]{byName: map[string]*timer[T]{}} }

// set restarts the TTL of a name from now.
func (t *timers[T]) set(name string, value T, ttl, now time.Duration) {
	found, exists := t.byName[name]
	if !exists {
		found = &timer[T]{name: name, queuedDeadline: now + ttl}
		t.byName[name] = found
		heap.Push(&t.queue, found)
	}
	found.value, found.ttl, found.deadline = value, ttl, now+ttl
	if found.deadline < found.queuedDeadline {
		t.requeue(found)
	}
}

// requeue moves a timer in the queue to the position of its present deadline.
func (t *timers[T]) requeue(moved *timer[T]) {
	moved.queuedDeadline = moved.deadline
	heap.Fix(&t.queue, moved.index)
}

// drop removes the timer of a name, if there is one.
func (t *timers[T]) drop(name string) {
	if found, exists := t.byName[name]; exists {
		heap.Remove(&t.queue, found.index)
		delete(t.byName, name)
	}
}

// renew restarts the TTL of a name. It returns false if the name has no timer.
func (t *timers[T]) renew(name string, now time.Duration) bool {
	found, exists := t.byName[name]
	if exists {
		found.deadline = now + found.ttl
	}
	return exists
}

// takeExpired removes and returns the timers whose deadline has passed.
func (t *timers[T]) takeExpired(now time.Duration) (expired []*timer[T]) {
	for len(t.queue) > 0 && t.queue[0].queuedDeadline < now {
		first := t.queue[0]
		if first.deadline >= now {
			t.requeue(first)
			continue
		}
		heap.Pop(&t.queue)
		delete(t.byName, first.name)
		expired = append(expired, first)
	}
	return expired
}

// putBack adds a timer that takeExpired has returned.
func (t *timers[T]) putBack(expired *timer[T]) {
	t.byName[expired.name] = expired
	heap.Push(&t.queue, expired)
}

// timerQueue implements heap.Interface, ordered by queuedDeadline.
type timerQueue[T any] []*timer[T]

func (q timerQueue[T]) Len() int           { return len(q) }
func (q timerQueue[T]) Less(i, j int) bool { return q[i].queuedDeadline < q[j].queuedDeadline }
func (q timerQueue[T]) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *timerQueue[T]) Push(pushed any) {
	t := pushed.(*timer[T])
	t.index = len(*q)
	*q = append(*q, t)
}

func (q *timerQueue[T]) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return popped
}
