package process

import (
	"fmt"
	"os"
	"sync"

	"wrenspread/internal/besteffort"
)

// MaxLog is how much of a process's output is kept, in bytes. The rest is read
// and counted, so that a process whose log floods neither stops nor fills the disk.
const MaxLog = 4 << 20

// capped is a file that takes the first MaxLog bytes and counts the others.
type capped struct {
	path string
	mu   sync.Mutex
	file *os.File // nil once closed
	room int
	lost int64
}

// newCapped goes on with the file of a process's predecessor.
func newCapped(path string) (*capped, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	return &capped{path: path, file: f, room: MaxLog}, nil
}

// Write never fails: the process that writes is not to notice the limit.
func (c *capped) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(len(b), c.room)
	if c.file != nil && n > 0 {
		besteffort.Response(c.file.Write(b[:n]))
	}
	c.room -= n
	c.lost += int64(len(b) - n)
	return len(b), nil
}

// Close ends the file, with a line on what is missing.
func (c *capped) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.file == nil {
		return
	}
	if c.lost > 0 {
		besteffort.Output(
			fmt.Fprintf(c.file, "\n(the lab kept %d bytes and passed over %d more)\n", MaxLog, c.lost),
		)
	}
	besteffort.Close(c.file)
	c.file = nil
}
