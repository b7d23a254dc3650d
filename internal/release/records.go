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

// Prefixes of the keys of a release in the registry: its record and the pending order of an operator.
const (
	RecordPrefix = "release/"
	orderPrefix  = "release-order/"
)

// LeaseName returns the name of the lease whose holder runs the controller of a release.
func LeaseName(name string) string { return RecordPrefix + name }

// pendingOrder is the record of an operator's pending order.
type pendingOrder struct {
	ID       string `json:"id"`
	Order    string `json:"order"`
	Operator string `json:"who"`
}

// Records stores a release in the registry. It writes with the controller's fencing token.
type Records struct {
	Registry *client.Client
	Token    registry.FencingToken
	Name     string
}

// Start writes the record of a new release. It fails if a release of this name exists.
func Start(ctx context.Context, registryClient *client.Client, s *State) error {
	raw, err := Encode(s)
	if err != nil {
		return err
	}
	absent := uint64(0)
	if _, err = registryClient.Put(ctx, RecordPrefix+s.Plan.Name, raw, &absent); hasCode(
		err, registry.Conflict) {
		return fmt.Errorf("start release %s: a release of this name exists, rename the plan", s.Plan.Name)
	}
	return err
}

// Read returns a release from its record.
func Read(ctx context.Context, registryClient *client.Client, name string) (*State, error) {
	record, err := registryClient.Record(ctx, RecordPrefix+name)
	if err != nil {
		return nil, err
	}
	return Decode(record.Value)
}

// SubmitOrder writes an operator's order for the controller. It fails while another order is pending.
func SubmitOrder(ctx context.Context, registryClient *client.Client, name, order, operator, id string) error {
	raw, err := json.Marshal(pendingOrder{id, order, operator})
	if err != nil {
		return err
	}
	absent := uint64(0)
	if _, err = registryClient.Put(ctx, orderPrefix+name, raw, &absent); hasCode(err, registry.Conflict) {
		return errors.New("submit order: another order is pending; does a controller of the release run?")
	}
	return err
}

// hasCode reports whether err is an error response of the registry with the code.
func hasCode(err error, code registry.Code) bool {
	var response *client.Error
	return errors.As(err, &response) && response.Code == string(code)
}

// Load reads the record and its version.
func (r Records) Load(ctx context.Context) ([]byte, uint64, error) {
	record, err := r.Registry.Record(ctx, RecordPrefix+r.Name)
	return record.Value, record.Version, err
}

// Save writes the record. It fails with ErrSuperseded if the record has another version or the fencing token
// is stale.
func (r Records) Save(ctx context.Context, raw []byte, version uint64) (uint64, error) {
	written, err := r.Registry.WithToken(r.Token).Put(ctx, RecordPrefix+r.Name, raw, &version)
	if hasCode(err, registry.Conflict) || hasCode(err, registry.StaleToken) {
		return 0, fmt.Errorf("%w: %w", ErrSuperseded, err)
	}
	return written.EntryVersion, err
}

// Order reads the pending order. The id is empty if there is none.
func (r Records) Order(ctx context.Context) (id, order, operator string, err error) {
	record, err := r.Registry.Record(ctx, orderPrefix+r.Name)
	var response *client.Error
	if errors.As(err, &response) && response.Status == http.StatusNotFound {
		return "", "", "", nil
	}
	var pending pendingOrder
	if err == nil {
		err = json.Unmarshal(record.Value, &pending)
	}
	return pending.ID, pending.Order, pending.Operator, err
}

// ClearOrder removes the pending order, so that another one can be submitted.
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
