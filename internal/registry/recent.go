package registry

// recent keeps the last few of what is pushed.
type recent[T any] struct {
	most  int
	start int
	kept  []T
}

// push adds one and gives the one that had to go, if any.
func (r *recent[T]) push(v T) (old T, full bool) {
	if len(r.kept) < r.most {
		r.kept = append(r.kept, v)
		return old, false
	}
	old = r.kept[r.start]
	r.kept[r.start] = v
	r.start = (r.start + 1) % r.most
	return old, true
}

func (r *recent[T]) len() int { return len(r.kept) }

// at gives the kept ones by age, the oldest first.
func (r *recent[T]) at(i int) T { return r.kept[(r.start+i)%len(r.kept)] }

func (r *recent[T]) all() []T {
	all := make([]T, 0, len(r.kept))
	for i := range r.kept {
		all = append(all, r.at(i))
	}
	return all
}
