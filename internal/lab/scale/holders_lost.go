package scale

import (
	"context"
	"fmt"
	"time"
)

// measureKill kills the holder and measures how the limit is used before and after.
func (s *shares) measureKill(ctx context.Context) (map[string]float64, error) {
	used := func(end time.Duration) (float64, error) {
		began, before := s.now, s.admitted
		err := s.run(ctx, end)
		return float64(s.admitted-before) / s.rate / seconds(s.now-began), err
	}
	if err := s.run(ctx, timeBeforeKill-2*time.Second); err != nil {
		return nil, err
	}
	s.work = holderWork{}
	before, err := used(timeBeforeKill)
	if err != nil {
		return nil, err
	}
	calm := s.work
	killed := s.now
	s.acting = -1
	s.sentFirst = 0
	f := map[string]float64{
		"used_before":            before,
		"holder_cores":           seconds(calm.cpu) / 2,
		"holder_datagrams_per_s": calm.datagrams / 2,
		"holder_bytes_in":        calm.in / 2,
		"holder_bytes_out":       calm.out / 2,
	}
	least, worst := before, 0.0
	for second := 1; s.now < killed+timeAfterKill; second++ {
		s.work = holderWork{}
		u, err := used(killed + time.Duration(second)*time.Second)
		if err != nil {
			return nil, err
		}
		if u >= 0.9*before && f["settled_s"] == 0 && s.acting == 1 {
			f["settled_s"] = seconds(s.now - killed)
		}
		least, worst = min(least, u), max(worst, seconds(s.work.cpu))
	}
	f["heard_first_s"], f["heard_all_s"], f["holder_peak_cores"], f["used_least"] = seconds(
		s.sentFirst-killed,
	), seconds(
		s.sentAll-killed,
	), worst, least
	f["over_burst"], f["admitted"] = max(0, s.overBurst), float64(s.admitted)
	if s.sentAll == 0 {
		return nil, fmt.Errorf("the second holder sent to %d of %d nodes", len(s.contacted), len(s.names))
	}
	return f, nil
}
