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

// tokenVariable is the environment variable that holds the API's token.
const tokenVariable = "BERGAMOTRUN_TOKEN"

// apiTimeout bounds a call of the API.
const apiTimeout = 15 * time.Second

// apiFlags are the flags of commands that call the operators' API.
type apiFlags struct {
	admin *string
	token *string
	ca    *string
	who   *string
	why   *string
	id    *string
}

func addAPIFlags(f *flag.FlagSet) apiFlags {
	return apiFlags{
		admin: f.String("admin", "http://127.0.0.1:7002", "`URL` of an entry's administration address"),
		token: f.String("token", "", "the API's `token`; better kept in the environment variable "+tokenVariable),
		ca:    f.String("ca", "", "`file` with the certificate that signs the entry's one"),
		who:   f.String("who", os.Getenv("USER"), "your `name`, for the history of changes"),
		why:   f.String("why", "", "the `reason` of a change, for the history"),
		id:    f.String("id", "", "change `identifier`; repeat a change whose outcome is unknown with the same one"),
	}
}

// apiClient calls the operators' API.
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

// readCA returns the certificates in a PEM file; nil, the system's ones, for no file.
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
		return nil, errors.Errorf("-ca %s: holds no certificate", file)
	}
	return pool, nil
}

// request returns the body of a change with the common fields.
func (f apiFlags) request() admin.ChangeRequest {
	id := *f.id
	if id == "" {
		id = rand.Text()
	}
	return admin.ChangeRequest{ID: id, Who: *f.who, Why: *f.why}
}

// call sends a call and decodes its answer; match is the serial for If-Match, 0 for none.
func call[T any](ctx context.Context, c *apiClient, method, path string, match uint64, body any) (answer T, err error) {
	var payload io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return answer, errors.Wrap(err, "encode request")
		}
		payload = bytes.NewReader(text)
	}
	u := *c.base
	path, query, _ := cutQuery(path)
	u.Path, u.RawQuery = path, query
	req, err := http.NewRequestWithContext(ctx, method, u.String(), payload)
	if err != nil {
		return answer, errors.Wrap(err, "make request")
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	if match != 0 {
		req.Header.Set("If-Match", strconv.FormatUint(match, 10))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return answer, apiError(resp)
	}
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return answer, errors.Wrap(err, "read answer")
}

func cutQuery(path string) (before, query string, found bool) {
	for i := range path {
		if path[i] == '?' {
			return path[:i], path[i+1:], true
		}
	}
	return path, "", false
}

func apiError(resp *http.Response) error {
	var p admin.ErrorResponse
	if err := json.NewDecoder(resp.Body).Decode(&p); err != nil || p.Error == "" {
		return errors.Errorf("the entry answered %s", resp.Status)
	}
	return errors.Errorf("%s (%s)", p.Error, resp.Status)
}
