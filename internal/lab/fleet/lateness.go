package fleet

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/history"
)

// Lateness measures how late the lab itself is: its timers, and the sending of operations.
type Lateness struct {
	log  *history.Log
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

const (
	lateEvery = 2 * time.Millisecond
	lateTop   = int64(10 * time.Second)
)

// NewLateness makes a meter that writes to log.
func NewLateness(log *history.Log) *Lateness {
	return &Lateness{log: log, hist: hdrhistogram.New(int64(time.Microsecond), lateTop, 2)}
}

// Add takes one reading.
func (l *Lateness) Add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	besteffort.Sample(l.hist.RecordValue(min(lateTop, max(0, int64(d)))))
}

// Watch measures until ctx ends and writes a line a second.
func (l *Lateness) Watch(ctx context.Context) {
	second := time.NewTicker(time.Second)
	defer second.Stop()
	for ctx.Err() == nil {
		before := time.Now()
		time.Sleep(lateEvery)
		l.Add(time.Since(before) - lateEvery)
		select {
		case <-second.C:
			l.write()
		default:
		}
	}
}

func (l *Lateness) write() {
	l.mu.Lock()
	p99, worst := l.hist.ValueAtQuantile(99), l.hist.Max()
	l.hist.Reset()
	l.mu.Unlock()
	l.log.Add(
		history.Event{Kind: history.Lab, P99: time.Duration(p99), Took: time.Duration(worst), CPU: OwnCPU()},
	)
}

// OwnCPU is the processor time that the lab's process has taken.
func OwnCPU() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
