// Package store is the adapter to the platform's key-value service.
//
// It speaks the published HTTP form of such services: key paths under /v1/kv/, and writes that carry
// the modify index that they expect (cas=). Every call is bounded by a timeout.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	callTimeout  = 2 * time.Second
	maxValueSize = 1 << 20
	// maxBodySize leaves room for base64 and the other fields of an answer.
	maxBodySize = 2 * maxValueSize
)

// Client calls the service. It is safe for concurrent use.
type Client struct {
	base  *url.URL
	token string
	http  *http.Client
	calls *expvar.Map
}

// New returns a client of the service at base; token may be empty. Calls are counted in calls.
func New(base *url.URL, token string, calls *expvar.Map) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 90 * time.Second}
	return &Client{base: base, token: token, http: &http.Client{Transport: transport}, calls: calls}
}

// Get returns the value of key; ok is false when there is none.
func (c *Client) Get(ctx context.Context, key string) (value []byte, ok bool, err error) {
	c.calls.Add("get", 1)
	status, body, err := c.call(ctx, http.MethodGet, key, nil, nil)
	if err != nil {
		c.calls.Add("failed", 1)
		return nil, false, err
	}
	switch status {
	case http.StatusNotFound:
		return nil, false, nil
	case http.StatusOK:
		return decode(key, body)
	default:
		c.calls.Add("failed", 1)
		return nil, false, errors.Errorf("store: get %s: status %d", key, status)
	}
}

// pair is one key in an answer of the service.
type pair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
}

func decode(key string, body []byte) (value []byte, ok bool, err error) {
	var pairs []pair
	if err := json.Unmarshal(body, &pairs); err != nil {
		return nil, false, errors.Wrapf(err, "store: answer for %s", key)
	}
	if len(pairs) != 1 || pairs[0].Key != key {
		return nil, false, errors.Errorf("store: answer for %s holds other keys", key)
	}
	return pairs[0].Value, true, nil
}

// Create stores value under key unless the key exists, and reports whether it did.
// After an error it is unknown whether the value was stored.
func (c *Client) Create(ctx context.Context, key string, value []byte) (created bool, err error) {
	return c.put(ctx, key, url.Values{"cas": {"0"}}, value)
}

// Put stores value under key, whatever stood there.
func (c *Client) Put(ctx context.Context, key string, value []byte) error {
	_, err := c.put(ctx, key, nil, value)
	return err
}

func (c *Client) put(ctx context.Context, key string, query url.Values, value []byte) (written bool, err error) {
	c.calls.Add("put", 1)
	if len(value) > maxValueSize {
		return false, errors.Errorf("store: value of %s has %d bytes, at most %d fit", key, len(value), maxValueSize)
	}
	status, body, err := c.call(ctx, http.MethodPut, key, query, value)
	if err != nil {
		c.calls.Add("failed", 1)
		return false, err
	}
	if status != http.StatusOK {
		c.calls.Add("failed", 1)
		return false, errors.Errorf("store: put %s: status %d", key, status)
	}
	return strings.TrimSpace(string(body)) == "true", nil
}

func (c *Client) call(ctx context.Context, method, key string, query url.Values, value []byte) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	u := c.base.JoinPath("v1", "kv", key)
	u.RawQuery = query.Encode()
	req, err := http.NewRequestWithContext(ctx, method, u.String(), bytes.NewReader(value))
	if err != nil {
		return 0, nil, errors.Wrapf(err, "store: %s %s", method, key)
	}
	if c.token != "" {
		req.Header.Set("X-Consul-Token", c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, errors.Wrapf(err, "store: %s %s", method, key)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxBodySize))
	return resp.StatusCode, body, errors.Wrapf(err, "store: %s %s", method, key)
}
