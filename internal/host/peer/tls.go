package peer

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/core/settings"
)

const (
	protocol   = "hickorypath/1"                // ALPN protocol name
	secretInfo = "hickorypath host certificate" // HKDF info, which all hosts must share
)

// NewTLS returns a mutual TLS configuration. Its arguments are PEM-encoded: the certificate and the key of this
// host, and the certificate of the authority that signs the certificates of all hosts.
func NewTLS(cert, key, authority []byte) (*tls.Config, error) {
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return nil, kind.Wrap(err, kind.Settings, "cannot load the host certificate and key")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, kind.New(kind.Settings, "the authority for host certificates contains no certificate")
	}
	return newTLSConfig(pair, func(state tls.ConnectionState) error { return verifyChain(state, pool) }), nil
}

// NewTLSFromSecret returns a mutual TLS configuration for hosts that share a secret. All hosts derive the same
// self-signed certificate from the secret and accept no other certificate.
func NewTLSFromSecret(secret string) (*tls.Config, error) {
	if len(secret) < settings.MinSecretBytes {
		return nil, kind.New(kind.Settings, "the shared secret of the hosts is shorter than %d bytes", settings.MinSecretBytes)
	}
	seed, err := hkdf.Key(sha256.New, []byte(secret), nil, secretInfo, ed25519.SeedSize)
	if err != nil {
		return nil, kind.Wrap(err, kind.Settings, "cannot derive a key from the shared secret")
	}
	priv := ed25519.NewKeyFromSeed(seed)
	der, err := selfSigned(priv)
	if err != nil {
		return nil, kind.Wrap(err, kind.Settings, "cannot create the shared certificate")
	}
	pair := tls.Certificate{Certificate: [][]byte{der}, PrivateKey: priv}
	return newTLSConfig(pair, func(state tls.ConnectionState) error { return verifySharedCertificate(state, der) }), nil
}

func newTLSConfig(pair tls.Certificate, verify func(tls.ConnectionState) error) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		ClientAuth:   tls.RequireAnyClientCert,
		// Hosts are dialed by IP address, so VerifyConnection verifies the certificate without a host name.
		InsecureSkipVerify: true,
		VerifyConnection:   verify,
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{protocol},
	}
}

// verifyChain checks that the certificate of the other host is signed by an authority in pool.
func verifyChain(state tls.ConnectionState, pool *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return kind.New(kind.Peer, "the other host presented no certificate")
	}
	opts := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
	for _, c := range state.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	if _, err := state.PeerCertificates[0].Verify(opts); err != nil {
		return kind.Wrap(err, kind.Peer, "cannot verify the certificate of another host")
	}
	return nil
}

// verifySharedCertificate checks that the certificate of the other host is equal to der.
func verifySharedCertificate(state tls.ConnectionState, der []byte) error {
	if len(state.PeerCertificates) == 0 || subtle.ConstantTimeCompare(state.PeerCertificates[0].Raw, der) != 1 {
		return kind.New(kind.Peer, "certificate was not derived from the shared secret")
	}
	return nil
}

func selfSigned(priv ed25519.PrivateKey) ([]byte, error) {
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "hickorypath hosts"},
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Date(2999, 1, 1, 0, 0, 0, 0, time.UTC),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	return x509.CreateCertificate(nil, tmpl, tmpl, priv.Public(), priv)
}

// peerIdentity returns the first DNS name in the certificate of the other host. The name identifies the host if
// the authority issues a certificate for each host. It is empty for the certificate derived from a shared secret.
func peerIdentity(state tls.ConnectionState) string {
	if len(state.PeerCertificates) == 0 || len(state.PeerCertificates[0].DNSNames) == 0 {
		return ""
	}
	return state.PeerCertificates[0].DNSNames[0]
}
