package quorum

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"wrenspread/internal/registry"
)

// entryState is the state of one entry of the list in the model.
type entryState struct {
	exists     bool
	weight     float64
	status     string
	version    uint64 // if it is 0 and exists is set: unknown, but higher than minVersion
	minVersion uint64
}

// model is the porcupine model of an entry: a register with conditional writes, whose version only rises. If
// the response of a write was lost, the version that the write produced is unknown; the model takes it from
// the first later operation that reports the entry's version.
var model = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		byName := map[string][]porcupine.Operation{}
		for _, o := range all {
			name := o.Input.(op).name
			byName[name] = append(byName[name], o)
		}
		var partitions [][]porcupine.Operation
		for _, partition := range byName {
			partitions = append(partitions, partition)
		}
		return partitions
	},
	Init: func() any { return entryState{} },
	Step: func(state, input, _ any) (bool, any) { return state.(entryState).step(input.(op)) },
}

// step reports whether the model allows the operation in this state, and returns the next state.
func (k entryState) step(o op) (bool, entryState) {
	if o.kind == "read" {
		return o.entryFound == k.exists && (!k.exists || o.readWeight == k.weight && o.readStatus == k.status), k
	}
	if o.ifVersion != nil {
		conditionMet := k.version == *o.ifVersion && (k.version > 0 || !k.exists)
		if k.exists && k.version == 0 { // the version is unknown, so the condition may hold
			if conditionMet = *o.ifVersion > k.minVersion && (!o.resultKnown || o.status != 409); conditionMet {
				k.version = *o.ifVersion
			}
		}
		if !conditionMet {
			return !o.resultKnown || o.status == 409 && k.mayHaveVersion(o.version), k.withReportedVersion(o)
		}
	}
	if !o.resultKnown {
		return true, k.applyWrite(o, 0)
	}
	if o.status == 409 || (o.status == 404) == (k.exists || o.kind == "register") {
		return false, k
	}
	if o.status == 404 {
		return true, k
	}
	if k.unchanged(o) {
		return k.mayHaveVersion(o.version), k.withReportedVersion(o)
	}
	return o.version > max(k.version, k.minVersion), k.applyWrite(o, o.version)
}

// unchanged reports whether a write leaves the entry as it is. Such a write also leaves the entry's version.
func (k entryState) unchanged(o op) bool {
	return k.exists &&
		(o.kind == "register" && k.weight == o.weight && k.status == registry.Ready ||
			o.kind == "drain" && k.status == registry.Draining)
}

// mayHaveVersion reports whether the entry may have this version, so that a response may contain it.
func (k entryState) mayHaveVersion(version uint64) bool {
	if k.exists && k.version == 0 {
		return version > k.minVersion
	}
	return version == k.version
}

// withReportedVersion returns the state with the version from the operation's response, if the version was
// unknown.
func (k entryState) withReportedVersion(o op) entryState {
	if k.exists && k.version == 0 && o.resultKnown {
		k.version = o.version
	}
	return k
}

// applyWrite returns the state after a write that produced the given version; 0 means that the version is
// unknown.
func (k entryState) applyWrite(o op, version uint64) entryState {
	minVersion := max(k.minVersion, k.version)
	if version == 0 && (k.unchanged(o) || !k.exists && o.kind != "register") {
		return k
	}
	switch o.kind {
	case "register":
		return entryState{true, o.weight, registry.Ready, version, minVersion}
	case "drain":
		return entryState{true, k.weight, registry.Draining, version, minVersion}
	}
	return entryState{minVersion: max(minVersion, version)}
}

// operations converts the history to porcupine's type. A write whose result is unknown may take effect at any
// time after its start, so it never ends.
func operations(ops []op) []porcupine.Operation {
	var result []porcupine.Operation
	for _, o := range ops {
		to := int64(o.end)
		if !o.resultKnown {
			to = math.MaxInt64
		}
		result = append(
			result,
			porcupine.Operation{ClientId: o.client, Input: o, Call: int64(o.start), Output: o, Return: to},
		)
	}
	return result
}

// maxCheckTime bounds the time that the check of one history may take.
const maxCheckTime = time.Minute
