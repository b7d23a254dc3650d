package main

import "time"

// memoryWatch follows the memory of all processes of a proxy together.
type memoryWatch struct {
	stop, stopped chan struct{}
	peakKB        int
}

// watchMemory starts to follow the memory of the proxy's processes. The pages of the program file are shared
// by its processes, so they count once.
func (p *limitedProxy) watchMemory() *memoryWatch {
	w := &memoryWatch{stop: make(chan struct{}), stopped: make(chan struct{})}
	go func() {
		defer close(w.stopped)
		for {
			anonymous, file := 0, 0
			for _, process := range p.all() {
				anonymous += process.statusKB("RssAnon")
				file = max(file, process.statusKB("RssFile"))
			}
			w.peakKB = max(w.peakKB, anonymous+file)
			select {
			case <-w.stop:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	}()
	return w
}

// peak ends the watch and returns the peak in kB.
func (w *memoryWatch) peak() int {
	close(w.stop)
	<-w.stopped
	return w.peakKB
}
