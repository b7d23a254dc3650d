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

// maxCheckTime bounds the time of CheckLock's search for an order of the operations that a lock with fencing
// tokens allows.
const maxCheckTime = time.Minute

// CheckFencing checks the acts that the resource accepted, in their order, and describes each violation. For
// each lease, no act may carry a lower fencing token than an earlier act, and all acts under one fencing
// token have to come from one run of one process.
func CheckFencing(acts []Act) (violations []string) {
	last := map[string]Act{}
	owner := map[string]string{}
	for _, a := range acts {
		if b, ok := last[a.Lease]; ok && a.Number < b.Number {
			violations = append(
				violations,
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
			violations = append(
				violations,
				fmt.Sprintf("%s: %s and %s both write under fence %d", a.Lease, o, a.Run, a.Number),
			)
		}
		owner[key], last[a.Lease] = a.Run, a
	}
	return violations
}

// lock is the state of a lease in the model: the latest fencing token, and whether a write under this token
// has been refused.
type lock struct {
	token   uint64
	refused bool
}

// lockModel is the porcupine model of a lock with fencing tokens. Each new holder has a higher fencing token
// than all previous holders. Only writes of the latest holder are accepted, and after one of its writes was
// refused, no further write of this holder is accepted.
var lockModel = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		byLease := map[string][]porcupine.Operation{}
		for _, o := range all {
			d := o.Input.(Act).Lease
			byLease[d] = append(byLease[d], o)
		}
		var parts [][]porcupine.Operation
		for _, p := range byLease {
			parts = append(parts, p)
		}
		return parts
	},
	Init: func() any { return lock{} },
	Step: func(state, input, _ any) (bool, any) {
		s, a := state.(lock), input.(Act)
		switch {
		case a.Do == "hold" && a.Number > s.token:
			return true, lock{token: a.Number}
		case a.Do == "hold":
			// The registry confirmed the same grant after it had been unreachable.
			return a.Number == s.token && !s.refused, s
		case a.Done:
			return a.Number == s.token && !s.refused, s
		case a.Number == s.token:
			return true, lock{token: s.token, refused: true}
		}
		return a.Number < s.token, s
	},
}

// CheckLock checks whether the grants and the fenced writes to the registry are a legal history of a lock.
// The registry granted a lease at some time between the last act of the same run on the lease, or the start
// of the run, and the start of the work. conclusive is false if the check took more than maxCheckTime.
func CheckLock(acts []Act) (legal, conclusive bool) {
	var ops []porcupine.Operation
	started, last := map[string]time.Duration{}, map[[2]string]time.Duration{}
	for _, a := range acts {
		if a.Do == "start" {
			started[a.Run] = a.From
			continue
		}
		key := [2]string{a.Run, a.Lease}
		// The registry may have granted the lease at any time since the run's last act on the lease.
		if a.Do == "hold" {
			a.From = max(started[a.Run], last[key])
		}
		last[key] = a.To
		ops = append(
			ops,
			porcupine.Operation{ClientId: len(ops), Input: a, Call: int64(a.From), Return: int64(a.To)},
		)
	}
	result := porcupine.CheckOperationsTimeout(lockModel, ops, maxCheckTime)
	return result != porcupine.Illegal, result != porcupine.Unknown
}

// ReadActs reads a worker's history from its file. A line that can't be parsed is skipped: the last line may
// be incomplete if the worker was killed. A missing file is an empty history.
func ReadActs(path string) (acts []Act, err error) {
	file, err := os.Open(path)
	if os.IsNotExist(err) {
		return nil, nil // the worker never held a lease
	}
	if err != nil {
		return nil, fmt.Errorf("read worker history: %w", err)
	}
	defer besteffort.Close(file)
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		var a Act
		if json.Unmarshal(scanner.Bytes(), &a) == nil {
			acts = append(acts, a)
		}
	}
	return acts, scanner.Err()
}

// Gap is a period in which no holder acted on a lease: from the last act under one fencing token to the first
// act under the next token.
type Gap struct {
	Lease  string
	From   time.Duration
	Length time.Duration
}

// Gaps returns the gaps between the holders of each lease, the longest gap first.
func Gaps(acts []Act) (gaps []Gap) {
	last := map[string]Act{}
	for _, a := range acts {
		if b, ok := last[a.Lease]; ok && b.Number != a.Number {
			gaps = append(gaps, Gap{a.Lease, b.To, a.To - b.To})
		}
		last[a.Lease] = a
	}
	slices.SortFunc(gaps, func(a, b Gap) int { return cmp.Compare(b.Length, a.Length) })
	return gaps
}
