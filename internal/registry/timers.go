package registry

import (
	"container/heap"
	"time"
)

// timers find what is overdue without a walk over all. Renewals, which are most of what comes, leave a timer where it
// waits; it is looked at when the deadline that it waits by has passed, and then waits by its present one. Its present
// one is never before that.
type timers[T any] struct {
	all   map[string]*timer[T]
	queue timerQueue[T] // by the deadlines that they wait by
}

type timer[T any] struct {
	of       T
	name     string
	ttl, at  time.Duration
	waitsFor time.Duration
	place    int
}

func newTimers[T any]() timers[T] { return timers[T]{all: map[string]*timer[T]{}} }

// set gives a name its full time from now.
func (t *timers[T]) set(name string, of T, ttl, now time.Duration) {
	one, there := t.all[name]
	if !there {
		one = &timer[T]{name: name, waitsFor: now + ttl}
		t.all[name] = one
		heap.Push(&t.queue, one)
	}
	one.of, one.ttl, one.at = of, ttl, now+ttl
	if one.at < one.waitsFor {
		t.wait(one)
	}
}

// wait has one wait for its present deadline.
func (t *timers[T]) wait(one *timer[T]) {
	one.waitsFor = one.at
	heap.Fix(&t.queue, one.place)
}

func (t *timers[T]) drop(name string) {
	if one, there := t.all[name]; there {
		heap.Remove(&t.queue, one.place)
		delete(t.all, name)
	}
}

// renew gives a name its full time again; it is false for one that is not there.
func (t *timers[T]) renew(name string, now time.Duration) bool {
	one, there := t.all[name]
	if there {
		one.at = now + one.ttl
	}
	return there
}

// over takes out those whose deadline has passed.
func (t *timers[T]) over(now time.Duration) (all []*timer[T]) {
	for len(t.queue) > 0 && t.queue[0].waitsFor < now {
		one := t.queue[0]
		if one.at >= now {
			t.wait(one)
			continue
		}
		heap.Pop(&t.queue)
		delete(t.all, one.name)
		all = append(all, one)
	}
	return all
}

// back puts one in again that was taken out.
func (t *timers[T]) back(one *timer[T]) {
	t.all[one.name] = one
	heap.Push(&t.queue, one)
}

// timerQueue is a heap.Interface.
type timerQueue[T any] []*timer[T]

func (q timerQueue[T]) Len() int           { return len(q) }
func (q timerQueue[T]) Less(i, j int) bool { return q[i].waitsFor < q[j].waitsFor }
func (q timerQueue[T]) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].place, q[j].place = i, j
}

func (q *timerQueue[T]) Push(one any) {
	t := one.(*timer[T])
	t.place = len(*q)
	*q = append(*q, t)
}

func (q *timerQueue[T]) Pop() any {
	last := len(*q) - 1
	one := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return one
}
