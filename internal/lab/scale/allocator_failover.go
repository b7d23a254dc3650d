package scale

import (
	"context"
	"fmt"
	"time"
)

// measureFailover kills the active allocator, and measures how much of the limit the nodes use before and
// after the kill.
func (s *allocatorModel) measureFailover(ctx context.Context) (map[string]float64, error) {
	usedShareUntil := func(end time.Duration) (float64, error) {
		began, before := s.now, s.admitted
		err := s.run(ctx, end)
		return float64(s.admitted-before) / s.limitRate / seconds(s.now-began), err
	}
	if err := s.run(ctx, timeBeforeKill-2*time.Second); err != nil {
		return nil, err
	}
	s.activeWork = allocatorWork{}
	before, err := usedShareUntil(timeBeforeKill)
	if err != nil {
		return nil, err
	}
	workBefore := s.activeWork
	killed := s.now
	s.active = -1
	s.sentFirst = 0
	f := map[string]float64{
		"used_before":            before,
		"holder_cores":           seconds(workBefore.cpu) / 2,
		"holder_datagrams_per_s": workBefore.datagrams / 2,
		"holder_bytes_in":        workBefore.in / 2,
		"holder_bytes_out":       workBefore.out / 2,
	}
	leastShare, peakCPU := before, 0.0
	for second := 1; s.now < killed+timeAfterKill; second++ {
		s.activeWork = allocatorWork{}
		usedShare, err := usedShareUntil(killed + time.Duration(second)*time.Second)
		if err != nil {
			return nil, err
		}
		if usedShare >= 0.9*before && f["settled_s"] == 0 && s.active == 1 {
			f["settled_s"] = seconds(s.now - killed)
		}
		leastShare, peakCPU = min(leastShare, usedShare), max(peakCPU, seconds(s.activeWork.cpu))
	}
	f["heard_first_s"], f["heard_all_s"], f["holder_peak_cores"], f["used_least"] = seconds(
		s.sentFirst-killed,
	), seconds(
		s.sentAll-killed,
	), peakCPU, leastShare
	f["over_burst"], f["admitted"] = max(0, s.overBurst), float64(s.admitted)
	if s.sentAll == 0 {
		return nil, fmt.Errorf("fail over to the second allocator: it sent to %d of %d nodes",
			len(s.contacted), len(s.names))
	}
	return f, nil
}
