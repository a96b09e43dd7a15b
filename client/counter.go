package client

import (
	"context"
	"net/http"
)

// Counter gives rising numbers.
type Counter struct {
	client *Client
	name   string
}

// Counter returns the counter of a name.
func (c *Client) Counter(name string) *Counter { return &Counter{client: c, name: name} }

// Next returns a number above each that was given under the name before the call. There may be gaps.
func (n *Counter) Next(ctx context.Context) (uint64, error) {
	path, err := pathOf("/numbers/", n.name, "")
	if err != nil {
		return 0, err
	}
	var number struct {
		Value uint64 `json:"value"`
	}
	_, err = n.client.call(ctx, &request{
		method: http.MethodPost, path: path, body: struct{}{}, into: &number, timeout: n.client.options.AttemptTimeout,
	})
	return number.Value, err
}
