package keys

import (
	"crypto/tls"
	"io"
	"net"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// exchange connects a client to a server and returns the client's error.
func exchange(server, client *tls.Config) error {
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		return err
	}
	defer listener.Close()
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		defer connection.Close()
		_, _ = io.WriteString(connection, "hello")
	}()
	dialer := &net.Dialer{Timeout: 10 * time.Second}
	connection, err := tls.DialWithDialer(dialer, "tcp", listener.Addr().String(), client)
	if err != nil {
		return err
	}
	defer connection.Close()
	_, err = io.ReadAll(connection)
	return err
}

func generated(t *testing.T) Generated {
	t.Helper()
	g, err := Generate()
	if err != nil {
		t.Fatal(err)
	}
	return g
}

func fixed(t *testing.T, g Generated) StaticSource {
	t.Helper()
	k, err := g.Keys()
	if err != nil {
		t.Fatal(err)
	}
	return StaticSource{Keys: k}
}

func TestOnlyTheSystemsOwnProcesses(t *testing.T) {
	ours, others := fixed(t, generated(t)), fixed(t, generated(t))
	Convey("Given two authorities", t, func() {
		Convey("processes of one system reach each other", func() {
			So(exchange(ServerConfig(ours), ClientConfig(ours)), ShouldBeNil)
		})
		Convey("a client of another authority is refused", func() {
			mixed := ClientConfig(others)
			mixed.VerifyConnection = nil
			So(exchange(ServerConfig(ours), mixed), ShouldNotBeNil)
		})
		Convey("a client without a certificate is refused", func() {
			bare := &tls.Config{InsecureSkipVerify: true}
			So(exchange(ServerConfig(ours), bare), ShouldNotBeNil)
		})
		Convey("a server of another authority is refused", func() {
			client := ClientConfig(ours)
			server := ServerConfig(others)
			So(exchange(server, client), ShouldNotBeNil)
		})
	})
}

func TestReload(t *testing.T) {
	Convey("Given keys read from files", t, func() {
		dir := t.TempDir()
		files, err := generated(t).Write(dir)
		So(err, ShouldBeNil)
		source, err := NewReloader(files)
		So(err, ShouldBeNil)
		before, _ := source.Current()

		Convey("changed files come into force", func() {
			_, err := generated(t).Write(dir)
			So(err, ShouldBeNil)
			later := time.Now().Add(time.Minute)
			So(os.Chtimes(files.Certificate, later, later), ShouldBeNil)
			source.checked = time.Time{}
			after, _ := source.Current()
			So(after, ShouldNotEqual, before)
		})

		Convey("a broken file leaves the keys as they are", func() {
			So(os.WriteFile(files.Certificate, []byte("broken"), 0o600), ShouldBeNil)
			later := time.Now().Add(time.Minute)
			So(os.Chtimes(files.Certificate, later, later), ShouldBeNil)
			source.checked = time.Time{}
			after, _ := source.Current()
			So(after, ShouldEqual, before)
		})
	})
	Convey("A missing file is named", t, func() {
		_, err := NewReloader(Files{Certificate: "no-such.pem", Key: "no-such.pem", Authority: "no-such.pem"})
		So(err.Error(), ShouldContainSubstring, "no-such.pem")
	})
}
