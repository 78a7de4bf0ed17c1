package process

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/failure"
	"waxwingcleat.example/waxwingcleat/internal/settings"
)

// DefaultBufferBytes is the size of the receive buffer and of the send buffer of a caller's connection. A connection whose bytes
// nobody reads takes no more of the kernel's memory, which would let the buffers grow to megabytes. Linux doubles the size for its
// own bookkeeping.
const DefaultBufferBytes = 16 << 10

// queuedConnections bounds the connections that the kernel keeps until they are accepted, which have buffers as well.
const queuedConnections = 1024

// ListenTCP listens on a TCP address, with buffers of so many bytes for each connection and direction, 0 for the default.
func ListenTCP(address string, bufferBytes int) (net.Listener, error) {
	if bufferBytes <= 0 {
		bufferBytes = DefaultBufferBytes
	}
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		// Accepted connections inherit the sizes, which must be set before the windows are negotiated.
		controlErr := raw.Control(func(descriptor uintptr) {
			err = errors.Join(
				syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bufferBytes),
				syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_SNDBUF, bufferBytes),
			)
		})
		return errors.Join(controlErr, err)
	}}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := setQueueLength(listener, queuedConnections); err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	return listener, nil
}

// setQueueLength changes the number of connections that the kernel keeps until they are accepted.
func setQueueLength(listener net.Listener, length int) error {
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	controlErr := raw.Control(func(descriptor uintptr) { err = syscall.Listen(int(descriptor), length) })
	return errors.Join(controlErr, err)
}

// Listen listens on a TCP address, with TLS if it is configured. The certificate is reloaded when its file changes, so
// that a renewal requires no restart.
func Listen(address string, config settings.TLS) (net.Listener, error) {
	listener, err := ListenTCP(address, 0)
	if err != nil || !config.Enabled() {
		return listener, err
	}
	tlsConfig, err := serverConfig(config)
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	return tls.NewListener(listener, tlsConfig), nil
}

// serverConfig returns the TLS configuration of a server. It fails if a file can't be read.
func serverConfig(config settings.TLS) (*tls.Config, error) {
	source := &certificateSource{config: config}
	if _, err := source.get(nil); err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "read certificate", config.CertificateFile)
	}
	result := &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: source.get}
	if config.ClientCAFile == "" {
		return result, nil
	}
	authorities, err := os.ReadFile(config.ClientCAFile)
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "read client authorities", config.ClientCAFile)
	}
	result.ClientCAs = x509.NewCertPool()
	if !result.ClientCAs.AppendCertsFromPEM(authorities) {
		return nil, failure.New(failure.Invalid, "read client authorities", config.ClientCAFile,
			"file holds no PEM certificate")
	}
	result.ClientAuth = tls.RequireAndVerifyClientCert
	return result, nil
}

// certificateSource caches a certificate and reloads it when the modification time of its file changes.
type certificateSource struct {
	config settings.TLS

	mu          sync.Mutex
	modified    time.Time
	certificate *tls.Certificate
}

// get implements tls.Config.GetCertificate.
func (s *certificateSource) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	info, err := os.Stat(s.config.CertificateFile)
	if err != nil {
		return s.lastValid(err)
	}
	if s.certificate != nil && info.ModTime().Equal(s.modified) {
		return s.certificate, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.config.CertificateFile, s.config.KeyFile)
	if err != nil {
		return s.lastValid(err)
	}
	s.certificate = &certificate
	s.modified = info.ModTime()
	return s.certificate, nil
}

// lastValid returns the last certificate that could be loaded, or err if there is none. While a renewal is in progress,
// the certificate and the key may not match.
func (s *certificateSource) lastValid(err error) (*tls.Certificate, error) {
	if s.certificate != nil {
		return s.certificate, nil
	}
	return nil, err
}
