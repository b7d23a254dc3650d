package quorum

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"wrenspread/internal/registry"
)

// known is what the model knows of one entry.
type known struct {
	there   bool
	weight  float64
	status  string
	version uint64 // 0 with there: not known, but above least
	least   uint64
}

// model is an entry as a register with conditions, for porcupine. Versions only
// rise; that of a write whose answer was lost is taken from whoever sees it first.
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
	Init: func() any { return known{} },
	Step: func(state, input, _ any) (bool, any) { return state.(known).step(input.(op)) },
}

func (k known) step(o op) (bool, known) {
	if o.do == "read" {
		return o.there == k.there && (!k.there || o.seenWeight == k.weight && o.seenStatus == k.status), k
	}
	if o.cond != nil {
		meets := k.version == *o.cond && (k.version > 0 || !k.there)
		if k.there && k.version == 0 { // not known: it may be
			if meets = *o.cond > k.least && (!o.known || o.status != 409); meets {
				k.version = *o.cond
			}
		}
		if !meets {
			return !o.known || o.status == 409 && k.sees(o.version), k.with(o)
		}
	}
	if !o.known {
		return true, k.write(o, 0)
	}
	if o.status == 409 || (o.status == 404) == (k.there || o.do == "register") {
		return false, k
	}
	if o.status == 404 {
		return true, k
	}
	if k.unchanged(o) {
		return k.sees(o.version), k.with(o)
	}
	return o.version > max(k.version, k.least), k.write(o, o.version)
}

// unchanged reports whether a write leaves the entry as it is, version included.
func (k known) unchanged(o op) bool {
	return k.there &&
		(o.do == "register" && k.weight == o.weight && k.status == registry.Ready || o.do == "drain" && k.status == registry.Draining)
}

// sees reports whether an answer may name that version of the entry.
func (k known) sees(version uint64) bool {
	if k.there && k.version == 0 {
		return version > k.least
	}
	return version == k.version
}

func (k known) with(o op) known {
	if k.there && k.version == 0 && o.known {
		k.version = o.version
	}
	return k
}

// write is the entry after a write that was carried out with that version, 0 for one that nobody knows.
func (k known) write(o op, version uint64) known {
	least := max(k.least, k.version)
	if version == 0 && (k.unchanged(o) || !k.there && o.do != "register") {
		return k
	}
	switch o.do {
	case "register":
		return known{true, o.weight, registry.Ready, version, least}
	case "drain":
		return known{true, k.weight, registry.Draining, version, least}
	}
	return known{least: max(least, version)}
}

// operations returns the history in porcupine's form. A write of unknown end may take effect at any time
// after its call.
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

// checkTime bounds the check of one history.
const checkTime = time.Minute
