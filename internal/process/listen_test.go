package process_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/process"
	"waxwingcleat.example/waxwingcleat/internal/settings"
)

// writeCertificate writes a self-signed certificate for the common name and its key to the directory.
func writeCertificate(g *gomega.WithT, dir, name string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Unix(0, 0), NotAfter: time.Unix(1<<33, 0), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	write := func(file, kind string, data []byte) {
		encoded := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data})
		g.Expect(os.WriteFile(filepath.Join(dir, file), encoded, 0o600)).To(gomega.Succeed())
	}
	write("key.pem", "PRIVATE KEY", keyDER)
	write("cert.pem", "CERTIFICATE", der)
}

// commonName returns the common name of the certificate presented at the address.
func commonName(g *gomega.WithT, address string) string {
	conn, err := tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	return conn.ConnectionState().PeerCertificates[0].Subject.CommonName
}

// Guards against a renewed certificate that takes effect only after a restart.
func TestRenewedCertificateIsServed(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	writeCertificate(g, dir, "first")
	config := settings.TLS{CertificateFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem")}
	listener, err := process.Listen("127.0.0.1:0", config)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.(*tls.Conn).Handshake()
		}
	}()
	g.Expect(commonName(g, listener.Addr().String())).To(gomega.Equal("first"))
	writeCertificate(g, dir, "second")
	modified := time.Now().Add(time.Minute)
	g.Expect(os.Chtimes(config.CertificateFile, modified, modified)).To(gomega.Succeed())
	g.Expect(commonName(g, listener.Addr().String())).To(gomega.Equal("second"))
}

// Guards against a server that starts although its configured certificate is missing.
func TestMissingCertificateIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := process.Listen("127.0.0.1:0", settings.TLS{CertificateFile: "/nonexistent", KeyFile: "/nonexistent"})
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("nonexistent")))
}

// Guards against the kernel's buffers, which grow to megabytes while nobody reads.
func TestUnreadBytesOfAConnectionAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := process.ListenTCP("127.0.0.1:0", 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer client.Close()
	server, err := listener.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer server.Close()
	// What the client's own buffer takes is bounded as well, so that only the server's can grow.
	g.Expect(client.(*net.TCPConn).SetWriteBuffer(process.DefaultBufferBytes)).To(gomega.Succeed())
	for name, ends := range map[string][2]net.Conn{"received": {client, server}, "sent": {server, client}} {
		if name == "sent" {
			g.Expect(client.(*net.TCPConn).SetReadBuffer(process.DefaultBufferBytes)).To(gomega.Succeed())
		}
		g.Expect(ends[0].SetWriteDeadline(time.Now().Add(500 * time.Millisecond))).To(gomega.Succeed())
		written, err := ends[0].Write(make([]byte, 64<<20))
		g.Expect(err).To(gomega.MatchError(os.ErrDeadlineExceeded), name)
		g.Expect(written).To(gomega.BeNumerically("<", 16*process.DefaultBufferBytes), name)
	}
}
