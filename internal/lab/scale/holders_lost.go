package scale

import (
	"context"
	"fmt"
	"time"
)

// lost kills the holder and tells what became of the limit.
func (s *shares) lost(ctx context.Context) (map[string]float64, error) {
	used := func(end time.Duration) (float64, error) {
		began, before := s.now, s.admitted
		err := s.run(ctx, end)
		return float64(s.admitted-before) / s.rate / seconds(s.now-began), err
	}
	if err := s.run(ctx, untilKilled-2*time.Second); err != nil {
		return nil, err
	}
	s.work = holderWork{}
	before, err := used(untilKilled)
	if err != nil {
		return nil, err
	}
	calm := s.work
	killed := s.now
	s.acting = -1
	s.first = 0
	f := map[string]float64{
		"used_before":            before,
		"holder_cores":           seconds(calm.cpu) / 2,
		"holder_datagrams_per_s": calm.datagrams / 2,
		"holder_bytes_in":        calm.in / 2,
		"holder_bytes_out":       calm.out / 2,
	}
	least, worst := before, 0.0
	for second := 1; s.now < killed+afterKilled; second++ {
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
		s.first-killed,
	), seconds(
		s.all-killed,
	), worst, least
	f["over_burst"], f["admitted"] = max(0, s.over), float64(s.admitted)
	if s.all == 0 {
		return nil, fmt.Errorf("%d of %d nodes heard of the second holder", len(s.heard), len(s.names))
	}
	return f, nil
}
