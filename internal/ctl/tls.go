package ctl

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/spf13/pflag"
)

// tlsFiles holds the names of PEM files for connections to API servers with an https URL.
type tlsFiles struct {
	authorities string
	certificate string
	key         string
}

func (f *tlsFiles) addFlags(flags *pflag.FlagSet) {
	flags.StringVar(&f.authorities, "ca", "", "PEM file of the authorities of the API servers; empty for the system's")
	flags.StringVar(&f.certificate, "cert", "", "PEM file of the client certificate")
	flags.StringVar(&f.key, "key", "", "PEM file of the client certificate's key")
}

// config returns the TLS configuration. Missing or invalid files are usage errors.
func (f *tlsFiles) config() (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if f.authorities != "" {
		data, err := os.ReadFile(f.authorities)
		if err != nil {
			return nil, usage("flag --ca: %w", err)
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(data) {
			return nil, usage("flag --ca has value %q; allowed: a file with PEM certificates", f.authorities)
		}
	}
	if (f.certificate == "") != (f.key == "") {
		return nil, usage("flags --cert and --key must be given together")
	}
	if f.certificate == "" {
		return config, nil
	}
	pair, err := tls.LoadX509KeyPair(f.certificate, f.key)
	if err != nil {
		return nil, usage("flags --cert and --key: %w", err)
	}
	config.Certificates = []tls.Certificate{pair}
	return config, nil
}
