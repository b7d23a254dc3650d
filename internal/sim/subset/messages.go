package subset

import (
	"strconv"

	"wrenspread/internal/sim"
)

// messageStore holds the contents of simulated messages. A datagram carries only the key of its content, so
// that answers need no JSON encoding. Answers to a node are dropped at the node's next call, because the node
// accepts none of them after that. Calls are small and stay for the whole simulation.
type messageStore struct {
	count      int                 // messages so far; the next key
	contents   map[string]any      // by key
	keysByNode map[string][]string // by node: the keys of the answers to drop
}

// put stores a content and returns the data of the message that carries it. node is the receiver of an
// answer, "" for a call.
func (m *messageStore) put(node string, content any) []byte {
	key := strconv.Itoa(m.count)
	m.count++
	m.contents[key] = content
	if node != "" {
		m.keysByNode[node] = append(m.keysByNode[node], key)
	}
	return []byte(key)
}

// content returns the content of a message, or nil if the content was dropped.
func (m *messageStore) content(e sim.Message) any { return m.contents[string(e.Data)] }

// forget drops all answers to a node.
func (m *messageStore) forget(node string) {
	for _, key := range m.keysByNode[node] {
		delete(m.contents, key)
	}
	m.keysByNode[node] = m.keysByNode[node][:0]
}
