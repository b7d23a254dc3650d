package registry

// ringBuffer keeps the last few of what is pushed.
type ringBuffer[T any] struct {
	capacity int
	start    int
	values   []T
}

// push adds one and gives the one that had to go, if any.
func (r *ringBuffer[T]) push(v T) (old T, full bool) {
	if len(r.values) < r.capacity {
		r.values = append(r.values, v)
		return old, false
	}
	old = r.values[r.start]
	r.values[r.start] = v
	r.start = (r.start + 1) % r.capacity
	return old, true
}

func (r *ringBuffer[T]) len() int { return len(r.values) }

// at returns the kept ones by age, the oldest first.
func (r *ringBuffer[T]) at(i int) T { return r.values[(r.start+i)%len(r.values)] }

func (r *ringBuffer[T]) all() []T {
	all := make([]T, 0, len(r.values))
	for i := range r.values {
		all = append(all, r.at(i))
	}
	return all
}
