package registry

import (
	"container/heap"
	"time"
)

// timers find what is overdue without a walk over all. Renewals, which are most of what comes, leave a timer
// where it waits; it is looked at when the deadline that it waits by has passed, and then waits by its
// present one. Its present one is never before that.
type timers[T any] struct {
	byName map[string]*timer[T]
	queue  timerQueue[T] // by the deadlines that they wait by
}

type timer[T any] struct {
	value          T
	name           string
	ttl, deadline  time.Duration
	queuedDeadline time.Duration
	index          int
}

func newTimers[T any]() timers[T] { return timers[T]{byName: map[string]*timer[T]{}} }

// set restarts the TTL of a name from now.
func (t *timers[T]) set(name string, of T, ttl, now time.Duration) {
	one, there := t.byName[name]
	if !there {
		one = &timer[T]{name: name, queuedDeadline: now + ttl}
		t.byName[name] = one
		heap.Push(&t.queue, one)
	}
	one.value, one.ttl, one.deadline = of, ttl, now+ttl
	if one.deadline < one.queuedDeadline {
		t.requeue(one)
	}
}

// requeue has one wait for its present deadline.
func (t *timers[T]) requeue(one *timer[T]) {
	one.queuedDeadline = one.deadline
	heap.Fix(&t.queue, one.index)
}

func (t *timers[T]) drop(name string) {
	if one, there := t.byName[name]; there {
		heap.Remove(&t.queue, one.index)
		delete(t.byName, name)
	}
}

// renew restarts the TTL of a name; it returns false for one that is not there.
func (t *timers[T]) renew(name string, now time.Duration) bool {
	one, there := t.byName[name]
	if there {
		one.deadline = now + one.ttl
	}
	return there
}

// takeExpired takes out those whose deadline has passed.
func (t *timers[T]) takeExpired(now time.Duration) (all []*timer[T]) {
	for len(t.queue) > 0 && t.queue[0].queuedDeadline < now {
		one := t.queue[0]
		if one.deadline >= now {
			t.requeue(one)
			continue
		}
		heap.Pop(&t.queue)
		delete(t.byName, one.name)
		all = append(all, one)
	}
	return all
}

// putBack puts one in again that was taken out.
func (t *timers[T]) putBack(one *timer[T]) {
	t.byName[one.name] = one
	heap.Push(&t.queue, one)
}

// timerQueue is a heap.Interface.
type timerQueue[T any] []*timer[T]

func (q timerQueue[T]) Len() int           { return len(q) }
func (q timerQueue[T]) Less(i, j int) bool { return q[i].queuedDeadline < q[j].queuedDeadline }
func (q timerQueue[T]) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *timerQueue[T]) Push(one any) {
	t := one.(*timer[T])
	t.index = len(*q)
	*q = append(*q, t)
}

func (q *timerQueue[T]) Pop() any {
	last := len(*q) - 1
	one := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return one
}
