package subset

import (
	"strconv"

	"wrenspread/internal/sim"
)

// messageStore is what messages stand for, as answers go without their JSON. Those to a node are let go at its next
// call, after which it takes none of them; calls, which are small, are kept.
type messageStore struct {
	count      int
	contents   map[string]any
	keysByNode map[string][]string // the keys of those that are to be let go, by node
}

// put gives a message that stands for what it carries, to a node where it is an answer.
func (m *messageStore) put(node string, content any) []byte {
	key := strconv.Itoa(m.count)
	m.count++
	m.contents[key] = content
	if node != "" {
		m.keysByNode[node] = append(m.keysByNode[node], key)
	}
	return []byte(key)
}

// content is what a message stands for, nil where that was let go.
func (m *messageStore) content(e sim.Message) any { return m.contents[string(e.Data)] }

func (m *messageStore) forget(node string) {
	for _, key := range m.keysByNode[node] {
		delete(m.contents, key)
	}
	m.keysByNode[node] = m.keysByNode[node][:0]
}
