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

// certLife is how long the certificates of a deployment are valid.
const certLife = 30 * 24 * time.Hour

// Authority signs the certificates of a deployment's services.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pool *x509.CertPool
}

// NewAuthority returns a new authority.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "devel: create key")
	}
	template := certTemplate("bergamotrun dev authority")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "devel: create certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "devel: read certificate")
	}
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &Authority{cert: cert, key: key, pool: pool}, nil
}

func certTemplate(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(certLife),
	}
}

// DER returns the authority's certificate, in the form that PEM files hold.
func (a *Authority) DER() []byte { return a.cert.Raw }

// Issue returns a certificate for a service's name, and its DER forms for PEM files.
func (a *Authority) Issue(name string) (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "devel: create key")
	}
	template := certTemplate(name)
	template.DNSNames = []string{name}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "devel: create certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}

// ClientConfig returns the configuration with which a caller checks the service with this name.
func (a *Authority) ClientConfig(name string) *tls.Config {
	return &tls.Config{RootCAs: a.pool, ServerName: name, MinVersion: tls.VersionTLS13}
}
