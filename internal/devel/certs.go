package devel

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/pkg/errors"
)

// certLifetime is the validity period of the certificates of a deployment.
const certLifetime = 30 * 24 * time.Hour

// Authority is a certificate authority for the services of a deployment.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pool *x509.CertPool
}

// NewAuthority returns an authority with a new key and a self-signed certificate.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "devel: generate the authority's key")
	}
	template := newCertTemplate("bergamotrun dev authority")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "devel: create the authority's certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "devel: parse the authority's certificate")
	}
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &Authority{cert: cert, key: key, pool: pool}, nil
}

func newCertTemplate(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(certLifetime),
	}
}

// DER returns the authority's certificate in DER, as encoded in PEM files.
func (a *Authority) DER() []byte { return a.cert.Raw }

// Issue returns a new key and server certificate for a service name.
func (a *Authority) Issue(name string) (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "devel: generate a service's key")
	}
	template := newCertTemplate(name)
	template.DNSNames = []string{name}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "devel: create a service's certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}

// ClientConfig returns a TLS configuration for callers that verifies the certificate of the service with this name.
func (a *Authority) ClientConfig(name string) *tls.Config {
	return &tls.Config{RootCAs: a.pool, ServerName: name, MinVersion: tls.VersionTLS13}
}
