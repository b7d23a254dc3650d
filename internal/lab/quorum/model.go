package quorum

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"wrenspread/internal/registry"
)

// entryState is the state of one entry in the model.
type entryState struct {
	exists     bool
	weight     float64
	status     string
	version    uint64 // 0 if exists is set: not known, but higher than minVersion
	minVersion uint64
}

// model is the porcupine model of an entry: a register with conditional writes. Versions only rise. The
// version of a write whose response was lost is taken from the first later operation that reports it.
var model = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		byName := map[string][]porcupine.Operation{}
		for _, o := range all {
			name := o.Input.(op).name
			byName[name] = append(byName[name], o)
		}
		var parts [][]porcupine.Operation
		for _, p := range byName {
			parts = append(parts, p)
		}
		return parts
	},
	Init: func() any { return entryState{} },
	Step: func(state, input, _ any) (bool, any) { return state.(entryState).step(input.(op)) },
}

// step reports whether the model allows the operation in this state, and returns the next state.
func (k entryState) step(o op) (bool, entryState) {
	if o.kind == "read" {
		return o.found == k.exists && (!k.exists || o.seenWeight == k.weight && o.seenStatus == k.status), k
	}
	if o.ifVersion != nil {
		meets := k.version == *o.ifVersion && (k.version > 0 || !k.exists)
		if k.exists && k.version == 0 { // the version is not known, so the condition may hold
			if meets = *o.ifVersion > k.minVersion && (!o.known || o.status != 409); meets {
				k.version = *o.ifVersion
			}
		}
		if !meets {
			return !o.known || o.status == 409 && k.mayReport(o.version), k.withReportedVersion(o)
		}
	}
	if !o.known {
		return true, k.applyWrite(o, 0)
	}
	if o.status == 409 || (o.status == 404) == (k.exists || o.kind == "register") {
		return false, k
	}
	if o.status == 404 {
		return true, k
	}
	if k.unchanged(o) {
		return k.mayReport(o.version), k.withReportedVersion(o)
	}
	return o.version > max(k.version, k.minVersion), k.applyWrite(o, o.version)
}

// unchanged reports whether a write changes nothing, so that the entry also keeps its version.
func (k entryState) unchanged(o op) bool {
	return k.exists &&
		(o.kind == "register" && k.weight == o.weight && k.status == registry.Ready ||
			o.kind == "drain" && k.status == registry.Draining)
}

// mayReport reports whether a response may contain this version of the entry.
func (k entryState) mayReport(version uint64) bool {
	if k.exists && k.version == 0 {
		return version > k.minVersion
	}
	return version == k.version
}

// withReportedVersion takes the version from the operation's response if the version was not known.
func (k entryState) withReportedVersion(o op) entryState {
	if k.exists && k.version == 0 && o.known {
		k.version = o.version
	}
	return k
}

// applyWrite returns the state after a write that produced the given version; 0 if the version is not known.
func (k entryState) applyWrite(o op, version uint64) entryState {
	least := max(k.minVersion, k.version)
	if version == 0 && (k.unchanged(o) || !k.exists && o.kind != "register") {
		return k
	}
	switch o.kind {
	case "register":
		return entryState{true, o.weight, registry.Ready, version, least}
	case "drain":
		return entryState{true, k.weight, registry.Draining, version, least}
	}
	return entryState{minVersion: max(least, version)}
}

// operations returns the history in porcupine's form. A write whose result is unknown may take effect at any
// time after its call.
func operations(ops []op) []porcupine.Operation {
	var all []porcupine.Operation
	for _, o := range ops {
		to := int64(o.to)
		if !o.known {
			to = math.MaxInt64
		}
		all = append(
			all,
			porcupine.Operation{ClientId: o.client, Input: o, Call: int64(o.from), Output: o, Return: to},
		)
	}
	return all
}

// maxCheckTime bounds the time of the check of one history.
const maxCheckTime = time.Minute
