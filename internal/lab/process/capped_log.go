package process

import (
	"fmt"
	"os"
	"sync"

	"wrenspread/internal/besteffort"
)

// MaxLog is how many bytes of a process's output are stored. Further bytes are read and counted, so that a
// process that floods its log neither blocks nor fills the disk.
const MaxLog = 4 << 20

// cappedLog is a log file that stores the first MaxLog bytes written to it and counts the others.
type cappedLog struct {
	path      string
	mu        sync.Mutex
	file      *os.File // nil once closed
	remaining int
	discarded int64
}

// openCappedLog opens a log file; it appends to the log of a previous process of the same name.
func openCappedLog(path string) (*cappedLog, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	return &cappedLog{path: path, file: f, remaining: MaxLog}, nil
}

// Write stores what fits under the limit. It never fails, since the process must not notice the limit.
func (c *cappedLog) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(len(b), c.remaining)
	if c.file != nil && n > 0 {
		besteffort.Response(c.file.Write(b[:n]))
	}
	c.remaining -= n
	c.discarded += int64(len(b) - n)
	return len(b), nil
}

// Close closes the file. If bytes were discarded, it first appends a line with their number.
func (c *cappedLog) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.file == nil {
		return
	}
	if c.discarded > 0 {
		besteffort.Output(
			fmt.Fprintf(c.file, "\n(the lab kept %d bytes and passed over %d more)\n", MaxLog, c.discarded),
		)
	}
	besteffort.Close(c.file)
	c.file = nil
}
