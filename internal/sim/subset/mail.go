package subset

import (
	"strconv"

	"wrenspread/internal/sim"
)

// mail is what messages stand for, as answers go without their JSON. Those to a node are let go at its next
// call, after which it takes none of them; calls, which are small, are kept.
type mail struct {
	posted int
	kept   map[string]any
	to     map[string][]string // the keys of those that are to be let go, by node
}

// post gives a message that stands for what it carries, to a node where it is an answer.
func (m *mail) post(node string, what any) []byte {
	key := strconv.Itoa(m.posted)
	m.posted++
	m.kept[key] = what
	if node != "" {
		m.to[node] = append(m.to[node], key)
	}
	return []byte(key)
}

// of is what a message stands for, nil where that was let go.
func (m *mail) of(e sim.Message) any { return m.kept[string(e.Data)] }

func (m *mail) forget(node string) {
	for _, key := range m.to[node] {
		delete(m.kept, key)
	}
	m.to[node] = m.to[node][:0]
}
