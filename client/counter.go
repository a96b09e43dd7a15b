package client

import (
	"context"
	"net/http"
)

// Counter returns ascending numbers.
type Counter struct {
	client *Client
	name   string
}

// Counter returns the counter with the given name.
func (c *Client) Counter(name string) *Counter { return &Counter{client: c, name: name} }

// Next returns a number that is higher than every number that any caller got under this name before the call. There may be gaps.
func (n *Counter) Next(ctx context.Context) (uint64, error) {
	path, err := pathOf("/numbers/", n.name, "")
	if err != nil {
		return 0, err
	}
	var number struct {
		Value uint64 `json:"value"`
	}
	_, err = n.client.call(ctx, &request{
		method: http.MethodPost, path: path, body: struct{}{}, decoded: &number, attemptTimeout: n.client.options.AttemptTimeout,
	})
	return number.Value, err
}
