package list

// Write is the body of a write. All of it is optional but the entry of a registration.
type Write struct {
	Entry *Entry  `json:"entry,omitempty"`
	TTLms int64   `json:"ttl_ms,omitempty"` // 0: it stays until it is removed
	If    *uint64 `json:"if,omitempty"`     // the version that the entry must have; 0: it must be absent
	ID    string  `json:"id,omitempty"`     // the same for a repeat, which then does not apply twice
}

// Renewal is the body of a renewal, and its answer.
type Renewal struct {
	Names   []string `json:"names,omitempty"`
	Unknown []string `json:"unknown,omitempty"` // those that have no lease: register them again
}

// Refusal is the body of every answer that is not 200.
type Refusal struct {
	Code    string `json:"code"`
	Why     string `json:"why"`
	Version uint64 `json:"version,omitempty"` // of the list
	Entry   uint64 `json:"entry,omitempty"`   // the version in the way, at a conflict
}

// Member is one replica as another sees it.
type Member struct {
	Name   string `json:"name"`
	Leads  bool   `json:"leads"`
	Votes  bool   `json:"votes"`
	Itself bool   `json:"itself"` // the one that answers
}
