package leases

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"wrenspread/internal/besteffort"
)

// checkTime bounds the search for an order in which a lock could have been held.
const checkTime = time.Minute

// Interleaved checks what the resource took: for each lease, no write under a lower
// fencing token after one under a higher, and all writes under a fencing token from one run of one process.
func Interleaved(acts []Act) (broken []string) {
	last := map[string]Act{}
	owner := map[string]string{}
	for _, a := range acts {
		if b, ok := last[a.Lease]; ok && a.Number < b.Number {
			broken = append(
				broken,
				fmt.Sprintf(
					"%s: %s writes under fence %d, %v after %s did under %d",
					a.Lease,
					a.Run,
					a.Number,
					a.To-b.To,
					b.Run,
					b.Number,
				),
			)
		}
		key := fmt.Sprint(a.Number, " ", a.Lease)
		if o, ok := owner[key]; ok && o != a.Run {
			broken = append(
				broken,
				fmt.Sprintf("%s: %s and %s both write under fence %d", a.Lease, o, a.Run, a.Number),
			)
		}
		owner[key], last[a.Lease] = a.Run, a
	}
	return broken
}

// lock is the state of a lease as the service has it: the last fencing token, and whether
// its holder has been turned down since.
type lock struct {
	fence uint64
	dead  bool
}

// lockModel is a lock with fencing tokens. Whoever comes to hold it has a higher fencing token
// than all before; a write is taken from nobody but the last, and from that one
// not again once it was turned down.
var lockModel = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		for _, o := range all {
			d := o.Input.(Act).Lease
			by[d] = append(by[d], o)
		}
		var parts [][]porcupine.Operation
		for _, p := range by {
			parts = append(parts, p)
		}
		return parts
	},
	Init: func() any { return lock{} },
	Step: func(state, input, _ any) (bool, any) {
		s, a := state.(lock), input.(Act)
		switch {
		case a.Do == "hold" && a.Number > s.fence:
			return true, lock{fence: a.Number}
		case a.Do == "hold":
			return a.Number == s.fence && !s.dead, s // the same grant again, after a while without the service
		case a.Done:
			return a.Number == s.fence && !s.dead, s
		case a.Number == s.fence:
			return true, lock{fence: s.fence, dead: true}
		}
		return a.Number < s.fence, s
	},
}

// Locked checks the grants, and the fenced writes to the list, as a lock. A grant
// took place at any time between that of the fencing token before it and the work's beginning.
func Locked(acts []Act) (legal, sure bool) {
	var ops []porcupine.Operation
	started, last := map[string]time.Duration{}, map[[2]string]time.Duration{}
	for _, a := range acts {
		if a.Do == "start" {
			started[a.Run] = a.From
			continue
		}
		key := [2]string{a.Run, a.Lease}
		// its process may have had the grant since its last word on the lease, and hear of it late
		if a.Do == "hold" {
			a.From = max(started[a.Run], last[key])
		}
		last[key] = a.To
		ops = append(
			ops,
			porcupine.Operation{ClientId: len(ops), Input: a, Call: int64(a.From), Return: int64(a.To)},
		)
	}
	result := porcupine.CheckOperationsTimeout(lockModel, ops, checkTime)
	return result != porcupine.Illegal, result != porcupine.Unknown
}

// ReadActs reads a worker's history. A last line that was cut off by its end is passed over.
func ReadActs(path string) (all []Act, err error) {
	f, err := os.Open(path)
	if os.IsNotExist(err) {
		return nil, nil // it never held anything
	}
	if err != nil {
		return nil, fmt.Errorf("a worker's history: %w", err)
	}
	defer besteffort.Close(f)
	in := bufio.NewScanner(f)
	for in.Scan() {
		var a Act
		if json.Unmarshal(in.Bytes(), &a) == nil {
			all = append(all, a)
		}
	}
	return all, in.Err()
}

// Gap is a time without a holder's writes, from the last of one fencing token to the first of the next.
type Gap struct {
	Duty string
	From time.Duration
	Took time.Duration
}

// Gaps returns the times between holders, the longest first.
func Gaps(acts []Act) (all []Gap) {
	last := map[string]Act{}
	for _, a := range acts {
		if b, ok := last[a.Lease]; ok && b.Number != a.Number {
			all = append(all, Gap{a.Lease, b.To, a.To - b.To})
		}
		last[a.Lease] = a
	}
	slices.SortFunc(all, func(a, b Gap) int { return cmp.Compare(b.Took, a.Took) })
	return all
}
