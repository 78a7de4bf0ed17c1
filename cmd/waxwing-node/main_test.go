package main_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/settings"
)

// Guards against a SIGHUP that ends the process because it arrives before the node has started. The process reads its
// settings from a named pipe, so that the signal arrives while it waits for them.
func TestReloadSignalDuringStartDoesNotEndTheProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	directory := t.TempDir()
	binary, pipe := filepath.Join(directory, "waxwing-node"), filepath.Join(directory, "settings.json")
	output, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	g.Expect(err).NotTo(gomega.HaveOccurred(), string(output))
	g.Expect(syscall.Mkfifo(pipe, 0o600)).To(gomega.Succeed())

	command := exec.Command(binary, "--settings", pipe)
	g.Expect(command.Start()).To(gomega.Succeed())
	// Opening the pipe for writing blocks until the process has opened it for reading.
	writer, err := os.OpenFile(pipe, os.O_WRONLY, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(command.Process.Signal(syscall.SIGHUP)).To(gomega.Succeed())
	_, err = writer.WriteString("{}")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(writer.Close()).To(gomega.Succeed())

	g.Expect(command.Wait()).To(gomega.HaveOccurred())
	status := command.ProcessState.Sys().(syscall.WaitStatus)
	g.Expect(status.Signaled()).To(gomega.BeFalse(), "ended by %s", status.Signal())
	g.Expect(status.ExitStatus()).To(gomega.Equal(settings.InvalidSettingsExitCode))
}
