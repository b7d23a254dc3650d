package release

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

// Keys of a release in the registry: its record, and the one order of an
// operator that waits to be taken.
const (
	RecordPrefix = "release/"
	orderPrefix  = "release-order/"
)

// LeaseName is the lease whose holder runs the controller of a release.
func LeaseName(name string) string { return RecordPrefix + name }

// pendingOrder is an operator's order in its record.
type pendingOrder struct {
	ID       string `json:"id"`
	Order    string `json:"order"`
	Operator string `json:"who"`
}

// Records keeps a release in the registry, under its controller's fencing token.
type Records struct {
	Registry *client.Client
	Token    registry.FencingToken
	Name     string
}

// Start puts a new release on record; there must be none of that name.
func Start(ctx context.Context, k *client.Client, s *State) error {
	raw, err := Encode(s)
	if err != nil {
		return err
	}
	none := uint64(0)
	if _, err = k.Put(ctx, RecordPrefix+s.Plan.Name, raw, &none); hasCode(err, registry.Conflict) {
		return fmt.Errorf("there is a release %s already; a plan of another name makes another", s.Plan.Name)
	}
	return err
}

// Read returns a release as it is on record.
func Read(ctx context.Context, k *client.Client, name string) (*State, error) {
	r, err := k.Record(ctx, RecordPrefix+name)
	if err != nil {
		return nil, err
	}
	return Decode(r.Value)
}

// SubmitOrder leaves an operator's order for the controller. One at a time waits.
func SubmitOrder(ctx context.Context, k *client.Client, name, what, who, id string) error {
	raw, err := json.Marshal(pendingOrder{id, what, who})
	if err != nil {
		return err
	}
	none := uint64(0)
	if _, err = k.Put(ctx, orderPrefix+name, raw, &none); hasCode(err, registry.Conflict) {
		return errors.New("an order waits there already; does a conductor run?")
	}
	return err
}

// hasCode reports whether the registry's refusal has a code.
func hasCode(err error, code registry.Code) bool {
	var r *client.Error
	return errors.As(err, &r) && r.Code == string(code)
}

// Load reads the record.
func (r Records) Load(ctx context.Context) ([]byte, uint64, error) {
	one, err := r.Registry.Record(ctx, RecordPrefix+r.Name)
	return one.Value, one.Version, err
}

// Save writes the record.
func (r Records) Save(ctx context.Context, raw []byte, version uint64) (uint64, error) {
	got, err := r.Registry.WithToken(r.Token).Put(ctx, RecordPrefix+r.Name, raw, &version)
	if hasCode(err, registry.Conflict) || hasCode(err, registry.StaleToken) {
		return 0, fmt.Errorf("%w: %w", ErrSuperseded, err)
	}
	return got.EntryVersion, err
}

// Order reads the order that waits.
func (r Records) Order(ctx context.Context) (id, what, who string, err error) {
	one, err := r.Registry.Record(ctx, orderPrefix+r.Name)
	var refused *client.Error
	if errors.As(err, &refused) && refused.Status == http.StatusNotFound {
		return "", "", "", nil
	}
	var o pendingOrder
	if err == nil {
		err = json.Unmarshal(one.Value, &o)
	}
	return o.ID, o.Order, o.Operator, err
}

// ClearOrder removes the order, so that the next one can be left.
func (r Records) ClearOrder(ctx context.Context) error {
	if _, err := r.Registry.WithToken(r.Token).
		Put(ctx, orderPrefix+r.Name, nil, nil); !hasCode(
		err,
		registry.NotFound,
	) {
		return err
	}
	return nil
}
