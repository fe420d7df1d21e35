package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/orders"
)

// ordersPath is the endpoint at which engines accept orders and report what
// they have loaded.
const ordersPath = "/v1/orders"

// maxEngineResponse bounds how much of an engine's response is read, in bytes.
const maxEngineResponse = 8 << 20

// errStaleFence means that the engine has seen a newer fencing token.
var errStaleFence = errors.New("stale fencing token: the engine has seen a newer one")

// engineItem is a model or adapter as encoded by engines.
type engineItem struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// engineState is what an engine reports to have loaded.
type engineState struct {
	Fence    uint64       `json:"fence"`
	Models   []engineItem `json:"models"`
	Adapters []engineItem `json:"adapters"`
	Role     string       `json:"role"`
}

// engineOrder is an order as decoded by engines.
type engineOrder struct {
	Fence   uint64 `json:"fence"`
	ID      string `json:"id"`
	Action  string `json:"action"`
	Kind    string `json:"kind,omitempty"`
	Name    string `json:"name,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// engine is a client of a model engine's orders API.
type engine struct {
	base string
	http *http.Client
}

// observe fetches which models and adapters the engine has loaded.
func (e *engine) observe(ctx context.Context) (orders.Have, error) {
	var state engineState
	if err := e.call(ctx, http.MethodGet, nil, &state); err != nil {
		return orders.Have{}, err
	}
	have := orders.Have{Fence: state.Fence, Role: state.Role}
	for _, m := range state.Models {
		have.Items = append(have.Items, orders.Item{Name: m.Name, Version: m.Version})
	}
	for _, a := range state.Adapters {
		have.Items = append(have.Items, orders.Item{Adapter: true, Name: a.Name, Version: a.Version})
	}
	return have, nil
}

// sendOrder sends one order. errStaleFence means that it was refused; after
// any other error it is unknown whether the order takes effect.
func (e *engine) sendOrder(ctx context.Context, incarnation string, o orders.Order) error {
	order := engineOrder{
		Fence:   o.Fence,
		ID:      incarnation + "/" + strconv.FormatUint(o.ID, 10),
		Action:  string(o.Verb),
		Name:    o.Item.Name,
		Version: o.Item.Version,
		Role:    o.Role,
	}
	if o.Verb != orders.SetRole {
		order.Kind = "model"
		if o.Item.Adapter {
			order.Kind = "adapter"
		}
	}
	data, err := json.Marshal(order)
	if err != nil {
		return err
	}
	return e.call(ctx, http.MethodPost, data, nil)
}

func (e *engine) call(ctx context.Context, method string, body []byte, into any) error {
	// A body that cannot be read again keeps net/http from retrying the request.
	req, err := http.NewRequestWithContext(ctx, method, e.base+ordersPath, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return err
	}
	req.ContentLength = int64(len(body))
	resp, err := e.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxEngineResponse))
	switch {
	case err != nil:
		return err
	case resp.StatusCode == http.StatusConflict:
		return errStaleFence
	case resp.StatusCode != http.StatusOK:
		return errors.Newf("engine: status %d", resp.StatusCode)
	case into == nil:
		return nil
	}
	return json.Unmarshal(data, into)
}
