// Package store is a client of the platform's key-value service.
//
// It uses the HTTP API of Consul's key-value store: keys are paths under /v1/kv/, and the query parameter cas makes a write
// conditional on the key's modify index. Each request has a timeout.
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
	requestTimeout = 2 * time.Second
	maxValueSize   = 1 << 20
	// maxBodySize bounds a response. It leaves room for base64 and the other fields.
	maxBodySize = 2 * maxValueSize
)

// Client is a client of the key-value service. It is safe for concurrent use.
type Client struct {
	baseURL  *url.URL
	token    string
	client   *http.Client
	counters *expvar.Map
}

// New returns a client of the service at baseURL. token may be empty. Requests and failures are counted in counters.
func New(baseURL *url.URL, token string, counters *expvar.Map) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 90 * time.Second}
	return &Client{baseURL: baseURL, token: token, client: &http.Client{Transport: transport}, counters: counters}
}

// Get returns the value of key; ok is false if there is no such key.
func (c *Client) Get(ctx context.Context, key string) (value []byte, ok bool, err error) {
	c.counters.Add("get", 1)
	status, body, err := c.do(ctx, http.MethodGet, key, nil, nil)
	if err != nil {
		c.counters.Add("failed", 1)
		return nil, false, err
	}
	switch status {
	case http.StatusNotFound:
		return nil, false, nil
	case http.StatusOK:
		return decode(key, body)
	default:
		c.counters.Add("failed", 1)
		return nil, false, errors.Errorf("store: get %s: status %d", key, status)
	}
}

// pair is a key and its value in a response.
type pair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
}

// decode returns the value of key from a response, which must hold this key only.
func decode(key string, body []byte) (value []byte, ok bool, err error) {
	var pairs []pair
	if err := json.Unmarshal(body, &pairs); err != nil {
		return nil, false, errors.Wrapf(err, "store: decode response for %s", key)
	}
	if len(pairs) != 1 || pairs[0].Key != key {
		return nil, false, errors.Errorf("store: response for %s contains other keys", key)
	}
	return pairs[0].Value, true, nil
}

// Create stores value under key if the key doesn't exist, and reports whether it stored the value. After an error it is
// unknown whether the value was stored.
func (c *Client) Create(ctx context.Context, key string, value []byte) (created bool, err error) {
	return c.put(ctx, key, url.Values{"cas": {"0"}}, value)
}

// Put stores value under key and replaces any previous value.
func (c *Client) Put(ctx context.Context, key string, value []byte) error {
	_, err := c.put(ctx, key, nil, value)
	return err
}

func (c *Client) put(ctx context.Context, key string, query url.Values, value []byte) (written bool, err error) {
	c.counters.Add("put", 1)
	if len(value) > maxValueSize {
		return false, errors.Errorf("store: value of %s has %d bytes, the maximum is %d", key, len(value), maxValueSize)
	}
	status, body, err := c.do(ctx, http.MethodPut, key, query, value)
	if err != nil {
		c.counters.Add("failed", 1)
		return false, err
	}
	if status != http.StatusOK {
		c.counters.Add("failed", 1)
		return false, errors.Errorf("store: put %s: status %d", key, status)
	}
	return strings.TrimSpace(string(body)) == "true", nil
}

func (c *Client) do(ctx context.Context, method, key string, query url.Values, value []byte) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	u := c.baseURL.JoinPath("v1", "kv", key)
	u.RawQuery = query.Encode()
	req, err := http.NewRequestWithContext(ctx, method, u.String(), bytes.NewReader(value))
	if err != nil {
		return 0, nil, errors.Wrapf(err, "store: %s %s", method, key)
	}
	if c.token != "" {
		req.Header.Set("X-Consul-Token", c.token)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, nil, errors.Wrapf(err, "store: %s %s", method, key)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxBodySize))
	return resp.StatusCode, body, errors.Wrapf(err, "store: %s %s", method, key)
}
