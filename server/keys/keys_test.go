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

// connect connects a client to a server, reads from the connection and returns
// the client's error.
func connect(server, client *tls.Config) error {
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

func generateKeys(t *testing.T) GeneratedKeys {
	t.Helper()
	g, err := Generate()
	if err != nil {
		t.Fatal(err)
	}
	return g
}

func staticSource(t *testing.T, g GeneratedKeys) StaticSource {
	t.Helper()
	k, err := g.Keys()
	if err != nil {
		t.Fatal(err)
	}
	return StaticSource{Keys: k}
}

func TestPeerAuthentication(t *testing.T) {
	ownSource, foreignSource := staticSource(t, generateKeys(t)), staticSource(t, generateKeys(t))
	Convey("Given two authorities", t, func() {
		Convey("a client and a server of the same authority connect", func() {
			So(connect(ServerConfig(ownSource), ClientConfig(ownSource)), ShouldBeNil)
		})
		Convey("a client of another authority is refused", func() {
			foreignClient := ClientConfig(foreignSource)
			foreignClient.VerifyConnection = nil
			So(connect(ServerConfig(ownSource), foreignClient), ShouldNotBeNil)
		})
		Convey("a client without a certificate is refused", func() {
			anonymousClient := &tls.Config{InsecureSkipVerify: true}
			So(connect(ServerConfig(ownSource), anonymousClient), ShouldNotBeNil)
		})
		Convey("a server of another authority is refused", func() {
			client := ClientConfig(ownSource)
			server := ServerConfig(foreignSource)
			So(connect(server, client), ShouldNotBeNil)
		})
	})
}

func TestReload(t *testing.T) {
	Convey("Given keys read from files", t, func() {
		dir := t.TempDir()
		files, err := generateKeys(t).Write(dir)
		So(err, ShouldBeNil)
		source, err := NewReloader(files)
		So(err, ShouldBeNil)
		before, _ := source.Current()

		Convey("changed files are reloaded", func() {
			_, err := generateKeys(t).Write(dir)
			So(err, ShouldBeNil)
			later := time.Now().Add(time.Minute)
			So(os.Chtimes(files.Certificate, later, later), ShouldBeNil)
			source.checkedAt = time.Time{}
			after, _ := source.Current()
			So(after, ShouldNotEqual, before)
		})

		Convey("the previous keys stay in force if a changed file is invalid", func() {
			So(os.WriteFile(files.Certificate, []byte("broken"), 0o600), ShouldBeNil)
			later := time.Now().Add(time.Minute)
			So(os.Chtimes(files.Certificate, later, later), ShouldBeNil)
			source.checkedAt = time.Time{}
			after, _ := source.Current()
			So(after, ShouldEqual, before)
		})
	})
	Convey("The error for a missing file names it", t, func() {
		_, err := NewReloader(Files{Certificate: "no-such.pem", Key: "no-such.pem", Authority: "no-such.pem"})
		So(err.Error(), ShouldContainSubstring, "no-such.pem")
	})
}
