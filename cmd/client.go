package cmd

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/internal/admin"
)

// tokenVariable is the environment variable with the API token.
const tokenVariable = "BERGAMOTRUN_TOKEN"

// apiTimeout bounds each API request.
const apiTimeout = 15 * time.Second

// apiFlags are the common flags of the commands that use the operators' API.
type apiFlags struct {
	admin *string
	token *string
	ca    *string
	who   *string
	why   *string
	id    *string
}

func addAPIFlags(fs *flag.FlagSet) apiFlags {
	return apiFlags{
		admin: fs.String("admin", "http://127.0.0.1:7002", "`URL` of an entry's administration address"),
		token: fs.String("token", "", "API `token`; prefer the environment variable "+tokenVariable),
		ca:    fs.String("ca", "", "`file` with the CA certificate that signed the certificate of the entry"),
		who:   fs.String("who", os.Getenv("USER"), "your `name`, recorded in the history"),
		why:   fs.String("why", "", "`reason` for the change, recorded in the history"),
		id:    fs.String("id", "", "change `identifier`; reuse it to retry a change whose outcome is unknown"),
	}
}

// apiClient is a client for the operators' API.
type apiClient struct {
	base  *url.URL
	token string
	http  *http.Client
}

func (f apiFlags) client() (*apiClient, error) {
	base, err := url.Parse(*f.admin)
	if err != nil {
		return nil, errors.Wrap(err, "-admin")
	}
	pool, err := readCA(*f.ca)
	if err != nil {
		return nil, err
	}
	token := *f.token
	if token == "" {
		token = os.Getenv(tokenVariable)
	}
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}
	return &apiClient{base: base, token: token, http: &http.Client{Timeout: apiTimeout, Transport: transport}}, nil
}

// readCA returns the certificates in a PEM file, or nil, which selects the system's roots, if file is empty.
func readCA(file string) (*x509.CertPool, error) {
	if file == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "-ca")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("-ca %s: no certificates found", file)
	}
	return pool, nil
}

// request returns the body of a change request with the fields that all changes have.
func (f apiFlags) request() admin.ChangeRequest {
	id := *f.id
	if id == "" {
		id = rand.Text()
	}
	return admin.ChangeRequest{ID: id, Who: *f.who, Why: *f.why}
}

// callAPI sends a request and decodes the JSON response. ifMatch is the serial for If-Match; 0 omits the header.
func callAPI[T any](ctx context.Context, c *apiClient, method, path string, ifMatch uint64, body any) (result T, err error) {
	var payload io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return result, errors.Wrap(err, "encode request")
		}
		payload = bytes.NewReader(text)
	}
	u := *c.base
	path, query, _ := cutQuery(path)
	u.Path, u.RawQuery = path, query
	req, err := http.NewRequestWithContext(ctx, method, u.String(), payload)
	if err != nil {
		return result, errors.Wrap(err, "create request")
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	if ifMatch != 0 {
		req.Header.Set("If-Match", strconv.FormatUint(ifMatch, 10))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return result, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return result, apiError(resp)
	}
	err = json.NewDecoder(resp.Body).Decode(&result)
	return result, errors.Wrap(err, "decode response")
}

// cutQuery splits a path at the first question mark.
func cutQuery(path string) (before, query string, found bool) {
	for i := range path {
		if path[i] == '?' {
			return path[:i], path[i+1:], true
		}
	}
	return path, "", false
}

// apiError returns the error that an error response of the API describes.
func apiError(resp *http.Response) error {
	var errorBody admin.ErrorResponse
	if err := json.NewDecoder(resp.Body).Decode(&errorBody); err != nil || errorBody.Error == "" {
		return errors.Errorf("the entry responded with %s", resp.Status)
	}
	return errors.Errorf("%s (%s)", errorBody.Error, resp.Status)
}
