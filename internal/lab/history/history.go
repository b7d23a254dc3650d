// Package history records the events of a lab run, with times of the same clock, and stores them in a file.
// Every check and report is computed from a history.
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

// Kind is the kind of an event.
type Kind string

// The kinds of events, with the fields that each kind sets in addition to T.
const (
	Due Kind = "due" // an operation is due: Op, Class, Tenant, Zone
	// a try's last byte was written to a node: Op, ID, Class, Node, Key, Wait (how long the client waits)
	Sent Kind = "sent"
	// a try ended: Op, ID, Node, How, Status, Took (from Sent), Backend (the backend that made the body), Detail
	// (Fresh)
	Answer Kind = "answer"
	// a node closed a reused connection while a request was on its way; the client sent the request again:
	// Op, ID, Node
	Cross Kind = "cross"
	Extra Kind = "extra" // bytes came after an answer: Node, ID of the answer
	// an operation ended: Op, Class, Tenant, Zone, Node of the last try, How, Took (from Due), Tries
	Over Kind = "over"
	// an attempt's last byte reached a backend: Op, ID, Class, Key, Backend, Node, Took (its work), Sent (when
	// the node wrote its last byte), Also (backends where the request is still open), Bad and How (the request
	// is one that a node must not send)
	Arrive Kind = "arrive"
	Begin  Kind = "begin" // a backend began the work, so the request may have an effect: ID, Key, Backend, Pod
	Drop   Kind = "drop"  // a backend's pod dropped a repeated key: ID, Key, Backend
	Reject Kind = "turn"  // a backend rejected an attempt without starting it: ID, Backend, How
	End    Kind = "end"   // a backend answered: ID, Backend, Status, Took (from Arrive)
	Shut   Kind = "shut"  // the node ended an open attempt: ID, Backend, Node
	// discovery sent an entry to a node: Node, Backend, How (the status), Index, Detail (since_ms)
	Notified Kind = "told"
	// a backend changed its state: Backend, How, Detail (since_ms of a start that discovery lists)
	BackendChange Kind = "box"
	// a node's view of the fleet changed: Node, Index (the view's number), How (its digest), Detail (the node's
	// own generation), Also ("name health generation incarnation" of each member)
	View Kind = "view"
	// a process changed its state: Node, Pid, How (start, ready, signal, exit, overdue), Detail, Bad (not as
	// ordered)
	Proc Kind = "proc"
	// a process's resource use: Node, Pid, RSS, FDs, CPU and Stall (both are totals since the process's start)
	Sample Kind = "sample"
	// a fault begins or ends: How (begin or end), Detail, Nodes (processes that the fault affects)
	Fault Kind = "fault"
	// the lab's own lateness in the previous second: Took (worst), P99, CPU (total of the lab)
	Lab    Kind = "lab"
	Meta   Kind = "meta"   // describes the run: Detail (experiment), Seed, Took (planned length)
	Ending Kind = "ending" // the experiment is over; the lab is about to end the processes
)

// Values of Event.How: how a try or an operation ended.
const (
	Served    = "served"    // answered with status 200
	Refused   = "refused"   // the node refused the operation, with status 429 or 503
	Failed    = "failed"    // an error that does not say whether the operation ran
	Broken    = "broken"    // the connection ended without a complete answer
	Silent    = "silent"    // no answer by the client's timeout, nor half a second after it
	Unreached = "unreached" // no connection was made, or none that accepted the request
)

// Fresh is the Detail of an Answer event if the request was sent on a new connection and no byte of an answer
// came.
const Fresh = "fresh"

// Event is one line of the history. Fields that an event's kind does not use are absent from the line.
type Event struct {
	T       time.Duration `json:"t"` // since the run began, in nanoseconds
	Kind    Kind          `json:"k"`
	Op      int           `json:"op,omitempty"` // operation number, from 1
	ID      string        `json:"id,omitempty"`
	Class   string        `json:"class,omitempty"`
	Tenant  string        `json:"tenant,omitempty"`
	Zone    string        `json:"zone,omitempty"`
	Key     string        `json:"key,omitempty"`
	Node    string        `json:"node,omitempty"`
	Backend string        `json:"box,omitempty"`
	How     string        `json:"how,omitempty"`
	Detail  string        `json:"detail,omitempty"`
	Status  int           `json:"status,omitempty"`
	Tries   int           `json:"tries,omitempty"`
	Index   uint64        `json:"index,omitempty"`
	Seed    uint64        `json:"seed,omitempty"`
	Pid     int           `json:"pid,omitempty"`
	Bad     bool          `json:"bad,omitempty"`
	Also    []string      `json:"also,omitempty"`
	Nodes   []string      `json:"nodes,omitempty"`
	Took    time.Duration `json:"took,omitempty"`
	Wait    time.Duration `json:"wait,omitempty"`
	Sent    time.Duration `json:"sent,omitempty"`
	Pod     int           `json:"pod,omitempty"`
	P99     time.Duration `json:"p99,omitempty"`
	CPU     time.Duration `json:"cpu,omitempty"`
	Stall   time.Duration `json:"stall,omitempty"` // time for which threads waited for a core
	RSS     int64         `json:"rss,omitempty"`   // bytes
	FDs     int           `json:"fds,omitempty"`
}

// Log collects the events of a run. It is safe for concurrent use.
type Log struct {
	start    time.Time
	mu       sync.Mutex
	events   []Event
	file     *os.File
	writer   *bufio.Writer
	err      error       // the first write error
	follower func(Event) // called with each event; may be nil
}

// New begins a history. The history is also written to the file at path, unless path is empty.
func New(path string) (*Log, error) {
	l := &Log{start: time.Now()}
	if path == "" {
		return l, nil
	}
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create history: %w", err)
	}
	l.file, l.writer = f, bufio.NewWriterSize(f, 1<<20)
	return l, nil
}

// Follow sets the function that is called with each later event. The function is called with the log's lock
// held, so it must be quick and must not add an event.
func (l *Log) Follow(follower func(Event)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.follower = follower
}

// Now returns the time since the run began, by the monotonic clock.
func (l *Log) Now() time.Duration { return time.Since(l.start) }

// At converts a time since the run began to wall-clock time.
func (l *Log) At(t time.Duration) time.Time { return l.start.Add(t) }

// Add stores an event. If the event has no time, Add sets the current time.
func (l *Log) Add(e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.T == 0 {
		e.T = l.Now()
	}
	l.events = append(l.events, e)
	if l.follower != nil {
		l.follower(e)
	}
	if l.writer != nil && l.err == nil {
		l.err = write(l.writer, e)
	}
}

// write writes an event as one line of JSON.
func write(w io.Writer, e Event) error {
	b, err := json.Marshal(e)
	if err != nil {
		return err
	}
	_, err = w.Write(append(b, '\n'))
	return err
}

// Events returns a copy of the events so far, in the order in which they were added.
func (l *Log) Events() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Event(nil), l.events...)
}

// Flush writes buffered events to the file.
func (l *Log) Flush() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.writer == nil {
		return nil
	}
	return errors.Join(l.err, l.writer.Flush())
}

// Close closes the file. Later events are stored in memory only.
func (l *Log) Close() error {
	err := l.Flush()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.file != nil {
		err = errors.Join(err, l.file.Close())
		l.file, l.writer = nil, nil
	}
	return err
}

// maxLineBytes bounds the length of a line that Read accepts.
const maxLineBytes = 1 << 20

// Read returns the events of a history file. It skips a malformed last line, since a killed lab may leave a
// truncated line. Any other malformed line is an error.
func Read(r io.Reader) ([]Event, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	var events []Event
	var lineErr error
	for n := 1; lines.Scan(); n++ {
		if lineErr != nil {
			return nil, lineErr
		}
		var e Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			lineErr = fmt.Errorf("read history: line %d: %w", n, err)
			continue
		}
		events = append(events, e)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read history: %w", err)
	}
	return events, nil
}
