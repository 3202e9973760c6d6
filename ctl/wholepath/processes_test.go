package wholepath

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	readyTimeout = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	stopTimeout  = 5 * time.Second // Time after SIGTERM until a process is killed; longer than an idle process takes to exit.
	clockTicks   = 100             // Clock ticks per second, the unit of processor times in /proc/PID/stat.
)

// buildBinary builds the persimmonwind binary and returns its path.
func buildBinary(b *testing.B) string {
	b.Helper()
	path := filepath.Join(b.TempDir(), "persimmonwind")
	build := exec.Command("go", "build", "-o", path, "persimmonwind.dev/server/cmd/persimmonwind")
	if output, err := build.CombinedOutput(); err != nil {
		b.Fatalf("build: %v\n%s", err, output)
	}
	return path
}

// process is one running process of the system.
type process struct {
	name           string
	command        *exec.Cmd
	profileAddress string // Address of the pprof endpoint, as host:port.
	stopOnce       sync.Once
}

func startProcess(b *testing.B, binary, name string, arguments ...string) *process {
	b.Helper()
	p := &process{name: name, profileAddress: freeAddress(b)}
	p.command = exec.Command(binary, append([]string{"--pprof", p.profileAddress}, arguments...)...)
	log, err := os.Create(filepath.Join(b.TempDir(), name+".log"))
	if err != nil {
		b.Fatal(err)
	}
	p.command.Stderr = log
	p.command.Env = append(os.Environ(), "GOMAXPROCS="+strconv.Itoa(*processors))
	if err := p.command.Start(); err != nil {
		b.Fatalf("start %s: %v", name, err)
	}
	b.Cleanup(p.stop)
	return p
}

// stop stops the process. Further calls do nothing.
func (p *process) stop() {
	p.stopOnce.Do(p.terminate)
}

func (p *process) terminate() {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	killer := time.AfterFunc(stopTimeout, func() { _ = p.command.Process.Kill() })
	defer killer.Stop()
	_ = p.command.Wait()
}

// usage is the resources that a process has used since its start.
type usage struct {
	cpu      time.Duration
	bytes    int64 // Bytes read and written by system calls, including those on sockets.
	resident int64 // Current resident memory in bytes.
}

func (u usage) since(earlier usage) usage {
	return usage{cpu: u.cpu - earlier.cpu, bytes: u.bytes - earlier.bytes, resident: u.resident - earlier.resident}
}

func (p *process) usage(b *testing.B) usage {
	b.Helper()
	return usageOf(b, p.command.Process.Pid)
}

func usageOf(b *testing.B, pid int) usage {
	b.Helper()
	directory := "/proc/" + strconv.Itoa(pid)
	io := procFields(b, directory+"/io")
	status := procFields(b, directory+"/status")
	return usage{
		cpu:      cpuTime(b, directory+"/stat"),
		bytes:    io["rchar:"] + io["wchar:"],
		resident: status["VmRSS:"] << 10,
	}
}

func cpuTime(b *testing.B, path string) time.Duration {
	b.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		b.Fatal(err)
	}
	const userField, systemField = 11, 12 // Indices of utime and stime among the fields after the command name.
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	user, userErr := strconv.Atoi(fields[userField])
	system, systemErr := strconv.Atoi(fields[systemField])
	if userErr != nil || systemErr != nil {
		b.Fatalf("malformed processor times in %s: %s", path, text)
	}
	return time.Duration(user+system) * time.Second / clockTicks
}

// procFields returns the numbers in a file of "name: number" lines.
func procFields(b *testing.B, path string) map[string]int64 {
	b.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		b.Fatal(err)
	}
	fields := map[string]int64{}
	for line := range strings.Lines(string(text)) {
		words := strings.Fields(line)
		if len(words) < 2 {
			continue
		}
		if number, err := strconv.ParseInt(words[1], 10, 64); err == nil {
			fields[words[0]] = number
		}
	}
	return fields
}

// saveProfile records a processor profile over the given number of seconds and writes
// it to the directory.
func (p *process) saveProfile(directory string, seconds int) error {
	response, err := http.Get(fmt.Sprintf("http://%s/debug/pprof/profile?seconds=%d", p.profileAddress, seconds))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	file, err := os.Create(filepath.Join(directory, p.name+".pprof"))
	if err != nil {
		return err
	}
	defer file.Close()
	_, err = io.Copy(file, response.Body)
	return err
}

// freeAddress returns a loopback address on which no process was listening a moment
// ago.
func freeAddress(b *testing.B) string {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// awaitOK waits until a GET of the URL returns status 200.
func awaitOK(b *testing.B, url string) {
	b.Helper()
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		response, err := http.Get(url)
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	b.Fatalf("%s is not ready after %v", url, readyTimeout)
}
