// Package history is what happened in a run of the lab: its events, the one
// clock that stamps them, and the file that keeps them. Every check and report
// is a function of it.
package history

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// Kind says what an event tells.
type Kind string

// The kinds, with the fields that each has beside T.
const (
	Due Kind = "due" // an operation is wanted: Op, Class, Tenant, Zone
	// a try's last byte was written to a node: Op, ID, Class, Node, Key, Wait (how long the client waits)
	Sent Kind = "sent"
	// what came of a try: Op, ID, Node, How, Status, Took (from Sent), Backend (who made the body), Detail
	// (Fresh)
	Answer Kind = "answer"
	// a node's close crossed a request on a used connection, which was sent once more: Op, ID, Node
	Cross Kind = "cross"
	Extra Kind = "extra" // bytes came after an answer: Node, ID of the answer
	// an operation ended: Op, Class, Tenant, Zone, Node of the last try, How, Took (from Due), Tries
	Over Kind = "over"
	// an attempt's last byte reached a backend: Op, ID, Class, Key, Backend, Node, Took (its work), Sent (when
	// the node wrote its last byte), Also (backends where it is still open), Bad and How (what no node may send)
	Arrive Kind = "arrive"
	Begin  Kind = "begin" // a backend began the work, so that it may have an effect: ID, Key, Backend, Pod
	Drop   Kind = "drop"  // a backend's pod dropped the repeat of a key: ID, Key, Backend
	Turn   Kind = "turn"  // a backend turned an attempt away unseen: ID, Backend, How
	End    Kind = "end"   // a backend answered: ID, Backend, Status, Took (from Arrive)
	Shut   Kind = "shut"  // the node ended an attempt that was open: ID, Backend, Node
	// discovery wrote an entry to a node: Node, Backend, How (the status), Index, Detail (since_ms)
	Told Kind = "told"
	Box  Kind = "box" // a backend changed: Backend, How, Detail (since_ms, of a start that is listed)
	// a node's view of the fleet changed: Node, Index (its number), How (its digest), Detail (the node's own
	// life), Also ("name health life incarnation" of each member)
	View Kind = "view"
	// a process: Node, Pid, How (start, ready, signal, exit), Detail, Bad (not as ordered)
	Proc   Kind = "proc"
	Sample Kind = "sample" // a process's use: Node, Pid, RSS, FDs, CPU, Stall (both in all since its start)
	Fault  Kind = "fault"  // a fault: How (begin or end), Detail, Nodes (processes that it touches)
	// the lab's own lateness in the second before: Took (worst), P99, CPU (of the lab, in all)
	Lab    Kind = "lab"
	Meta   Kind = "meta"   // the run: Detail (experiment), Seed, Took (planned length)
	Ending Kind = "ending" // all is over; the processes are about to be ended
)

// How a try or an operation ended.
const (
	Served    = "served"
	Refused   = "refused"
	Failed    = "failed"    // an answer that promises nothing
	Broken    = "broken"    // the connection ended without a whole answer
	Silent    = "silent"    // no answer by the time the client gave up, and none half a second later
	Unreached = "unreached" // no connection, or none that took the request
)

// Fresh is the detail of an answer that never began on a new connection.
const Fresh = "fresh"

// Event is one line of the history. Fields that a kind does not have are absent.
type Event struct {
	T      time.Duration `json:"t"` // since the run began, in nanoseconds
	Kind   Kind          `json:"k"`
	Op     int           `json:"op,omitempty"` // from 1
	ID     string        `json:"id,omitempty"`
	Class  string        `json:"class,omitempty"`
	Tenant string        `json:"tenant,omitempty"`
	Zone   string        `json:"zone,omitempty"`
	Key    string        `json:"key,omitempty"`
	Node   string        `json:"node,omitempty"`
	Box    string        `json:"box,omitempty"`
	How    string        `json:"how,omitempty"`
	Detail string        `json:"detail,omitempty"`
	Status int           `json:"status,omitempty"`
	Tries  int           `json:"tries,omitempty"`
	Index  uint64        `json:"index,omitempty"`
	Seed   uint64        `json:"seed,omitempty"`
	Pid    int           `json:"pid,omitempty"`
	Bad    bool          `json:"bad,omitempty"`
	Also   []string      `json:"also,omitempty"`
	Nodes  []string      `json:"nodes,omitempty"`
	Took   time.Duration `json:"took,omitempty"`
	Wait   time.Duration `json:"wait,omitempty"`
	Sent   time.Duration `json:"sent,omitempty"`
	Pod    int           `json:"pod,omitempty"`
	P99    time.Duration `json:"p99,omitempty"`
	CPU    time.Duration `json:"cpu,omitempty"`
	Stall  time.Duration `json:"stall,omitempty"` // time that threads waited for a core
	RSS    int64         `json:"rss,omitempty"`   // bytes
	FDs    int           `json:"fds,omitempty"`
}

// Log takes the events of a run. It is safe for concurrent use.
type Log struct {
	start time.Time
	mu    sync.Mutex
	all   []Event
	file  *os.File
	out   *bufio.Writer
	err   error // the first that writing met
	tell  func(Event)
}

// New begins a history that is also written to the file at path, unless path is empty.
func New(path string) (*Log, error) {
	l := &Log{start: time.Now()}
	if path == "" {
		return l, nil
	}
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	l.file, l.out = f, bufio.NewWriterSize(f, 1<<20)
	return l, nil
}

// Follow has f told of each event to come. It must be quick and add none.
func (l *Log) Follow(f func(Event)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tell = f
}

// Now is the time since the run began, by the monotonic clock.
func (l *Log) Now() time.Duration { return time.Since(l.start) }

// At turns a time of the run into one of the clock.
func (l *Log) At(t time.Duration) time.Time { return l.start.Add(t) }

// Add stamps an event that has no time yet and keeps it.
func (l *Log) Add(e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.T == 0 {
		e.T = l.Now()
	}
	l.all = append(l.all, e)
	if l.tell != nil {
		l.tell(e)
	}
	if l.out != nil && l.err == nil {
		l.err = write(l.out, e)
	}
}

func write(w io.Writer, e Event) error {
	b, err := json.Marshal(e)
	if err != nil {
		return err
	}
	_, err = w.Write(append(b, '\n'))
	return err
}

// Events gives what has been kept so far, in the order of its adding.
func (l *Log) Events() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Event(nil), l.all...)
}

// Flush writes what is still buffered to the file.
func (l *Log) Flush() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out == nil {
		return nil
	}
	return errors.Join(l.err, l.out.Flush())
}

// Close ends the file. Events may still be added; they are kept in memory only.
func (l *Log) Close() error {
	err := l.Flush()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.file != nil {
		err = errors.Join(err, l.file.Close())
		l.file, l.out = nil, nil
	}
	return err
}

// maxLine bounds a line of a history that is read.
const maxLine = 1 << 20

// Read returns the events of a history. A last line that was cut off, as a killed lab leaves it, is passed
// over; anything else that is malformed is an error.
func Read(r io.Reader) ([]Event, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	var all []Event
	var broken error
	for n := 1; lines.Scan(); n++ {
		if broken != nil {
			return nil, broken
		}
		var e Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			broken = fmt.Errorf("history, line %d: %w", n, err)
			continue
		}
		all = append(all, e)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	return all, nil
}
