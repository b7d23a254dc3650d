package registry

// ringBuffer holds the last values that were pushed, up to its capacity.
type ringBuffer[T any] struct {
	capacity int
	start    int
	values   []T
}

// push adds a value. If the buffer is full, it drops and returns the oldest value.
func (r *ringBuffer[T]) push(v T) (dropped T, full bool) {
	if len(r.values) < r.capacity {
		r.values = append(r.values, v)
		return dropped, false
	}
	dropped = r.values[r.start]
	r.values[r.start] = v
	r.start = (r.start + 1) % r.capacity
	return dropped, true
}

func (r *ringBuffer[T]) len() int { return len(r.values) }

// at returns the i-th value, counted from the oldest.
func (r *ringBuffer[T]) at(i int) T { return r.values[(r.start+i)%len(r.values)] }

// all returns a copy of the values, the oldest first.
func (r *ringBuffer[T]) all() []T {
	values := make([]T, 0, len(r.values))
	for i := range r.values {
		values = append(values, r.at(i))
	}
	return values
}
