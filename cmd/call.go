package cmd

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/pkg/caller"
)

func callCommand() *command {
	return &command{
		name:    "call",
		summary: "send a request to a service, with a ticket if it needs one",
		usage: "Usage: bergamotrun call [flags] URL\n\nSends a request over HTTP/3 and prints the response body. A request that is not idempotent carries a ticket\n" +
			"and is retried only if that can't run it twice.\n\n" +
			"Example: bergamotrun call -ca ca.pem -name order-desk -X POST -d '3 pallets' https://192.0.2.7:443/orders\n\n",
		run: runCall,
	}
}

func runCall(ctx context.Context, inv *invocation) error {
	method := inv.flags.String("X", "GET", "HTTP `method`")
	data := inv.flags.String("d", "", "request `body`")
	ca := inv.flags.String("ca", "", "`file` with the CA certificate that signed the certificate of the service")
	name := inv.flags.String("name", "", "server `name` to expect in the service's certificate; default: the URL's host")
	timeout := inv.flags.Duration("timeout", 30*time.Second, "`time` to wait for the response")
	attempts := inv.flags.Int("attempts", 0, "maximum number of attempts; 0 for the default")
	if err := inv.parse(1, 1); err != nil {
		return err
	}
	target, err := url.Parse(inv.flags.Arg(0))
	if err != nil || target.Scheme != "https" || target.Host == "" {
		return errors.Errorf("%q is not an https URL", inv.flags.Arg(0))
	}
	pool, err := readCA(*ca)
	if err != nil {
		return err
	}
	client := caller.New(caller.Options{
		TLS:      &tls.Config{RootCAs: pool, ServerName: *name, MinVersion: tls.VersionTLS13},
		Attempts: *attempts,
	})
	defer func() { _ = client.Close() }()
	ctx, cancel := context.WithTimeout(ctx, *timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, *method, target.String(), strings.NewReader(*data))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	if *data == "" {
		req.Body, req.GetBody, req.ContentLength = nil, nil, 0
	}
	resp, err := client.Do(ctx, req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(inv.stdout, resp.Body); err != nil {
		return errors.Wrap(err, "read response body")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("the response status is %s", resp.Status)
	}
	return nil
}
