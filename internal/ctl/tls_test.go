package ctl

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"
)

// TestClientCertificate guards against a client that can't use an API server which requires client certificates.
func TestClientCertificate(t *testing.T) {
	g := gomega.NewWithT(t)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"resourceVersion":7,"inForce":true}`))
	}))
	server.TLS = &tls.Config{ClientAuth: tls.RequireAnyClientCert}
	server.StartTLS()
	defer server.Close()

	dir := t.TempDir()
	pair := server.TLS.Certificates[0]
	key, err := x509.MarshalPKCS8PrivateKey(pair.PrivateKey)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	write := func(name, kind string, data []byte) string {
		path := filepath.Join(dir, name)
		g.Expect(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600)).To(gomega.Succeed())
		return path
	}
	certificate := write("cert.pem", "CERTIFICATE", pair.Certificate[0])
	keyFile := write("key.pem", "PRIVATE KEY", key)

	run := func(args ...string) int {
		var out bytes.Buffer
		return Run(context.Background(), append([]string{"--server", server.URL, "status"}, args...), Streams{Out: &out, Err: &out})
	}
	g.Expect(run("--ca", certificate, "--cert", certificate, "--key", keyFile)).To(gomega.Equal(ExitOK))
	g.Expect(run("--ca", certificate)).To(gomega.Equal(ExitFailed), "no client certificate")
	g.Expect(run("--ca", keyFile)).To(gomega.Equal(ExitUsage))
	g.Expect(run("--cert", certificate)).To(gomega.Equal(ExitUsage))
}
