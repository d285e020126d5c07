package connreset

import (
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/gomega"
)

// connect returns both ends of a TCP connection.
func connect(g *WithT) (near, far *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	accepted, err := listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

const settle = 30 * time.Millisecond // for what the other end has sent

func TestEndOfConnection(t *testing.T) {
	for _, tc := range []struct {
		name string
		end  func(far *net.TCPConn)
		want error
	}{
		{"closed", func(far *net.TCPConn) { _ = far.Close() }, io.EOF},
		{"closed, then reset", func(far *net.TCPConn) {
			_ = far.CloseWrite()
			time.Sleep(settle)
			_ = far.SetLinger(0)
			_ = far.Close()
		}, io.EOF},
		{"closed for writing", func(far *net.TCPConn) { _ = far.CloseWrite() }, io.EOF},
		{"reset", func(far *net.TCPConn) { _ = far.SetLinger(0); _ = far.Close() }, syscall.ECONNRESET},
	} {
		for writes := range 3 {
			t.Run(tc.name+", writes "+strconv.Itoa(writes), func(t *testing.T) {
				g := NewWithT(t)
				near, far := connect(g)
				defer near.Close()
				conn := Detect(near)
				_, err := io.WriteString(far, "data")
				g.Expect(err).NotTo(HaveOccurred())
				time.Sleep(settle)
				tc.end(far)
				time.Sleep(settle)
				for range writes { // one takes the error of a reset
					_, _ = io.WriteString(conn, "x")
					time.Sleep(settle)
				}
				data := make([]byte, 10)
				n, err := conn.Read(data)
				g.Expect(string(data[:n]), err).To(Equal("data"))
				_, err = conn.Read(data)
				g.Expect(errors.Is(err, tc.want)).To(BeTrue(), "%v", err)
			})
		}
	}
}

// The writer that takes the error of a reset closes the connection, which the reader may see first.
func TestEndOfConnectionThatIsClosedHere(t *testing.T) {
	g := NewWithT(t)
	near, far := connect(g)
	conn := Detect(near).(*detector)
	g.Expect(far.Close()).To(Succeed())
	g.Expect(near.Close()).To(Succeed())
	g.Expect(conn.end()).NotTo(Equal(io.EOF))
}

func TestOtherConnections(t *testing.T) {
	g := NewWithT(t)
	near, far := net.Pipe()
	g.Expect(Detect(near)).To(BeIdenticalTo(near))
	_ = far.Close()

	path := t.TempDir() + "/s"
	listener, err := net.Listen("unix", path)
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	conn, err := net.Dial("unix", path)
	g.Expect(err).NotTo(HaveOccurred())
	accepted, err := listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(accepted.Close()).To(Succeed())
	_, err = Detect(conn).Read(make([]byte, 1))
	g.Expect(err).To(Equal(io.EOF))
}

// A reader and a writer that use the connection at the same time, as for a request that is still sent
// while its response is read, must agree on whether the response is complete.
func TestEndOfConnectionDuringWrites(t *testing.T) {
	const tries = 300
	for _, tc := range []struct {
		name string
		end  func(far *net.TCPConn)
		want error
	}{
		{"reset", func(far *net.TCPConn) { _ = far.SetLinger(0); _ = far.Close() }, syscall.ECONNRESET},
		{"closed, reset by what is sent then", func(far *net.TCPConn) {
			_ = far.CloseWrite()
			time.Sleep(time.Duration(rand.IntN(300)) * time.Microsecond)
			_ = far.SetLinger(0)
			_ = far.Close()
		}, io.EOF},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			for range tries {
				near, far := connect(g)
				conn := Detect(near)
				written := make(chan struct{})
				go func() {
					defer close(written)
					for data := make([]byte, 1<<10); ; {
						if _, err := conn.Write(data); err != nil {
							_ = conn.Close() // as the writer of a request does
							return
						}
					}
				}()
				go func() { _, _ = io.CopyN(io.Discard, far, 20<<10); tc.end(far) }()
				_, err := conn.Read(make([]byte, 1))
				_ = conn.Close()
				<-written
				if tc.want == io.EOF && errors.Is(err, net.ErrClosed) {
					continue // the writer was first, and nothing is known
				}
				g.Expect(err).To(HaveOccurred())
				g.Expect(err == io.EOF).To(Equal(tc.want == io.EOF), "%v", err)
			}
		})
	}
}
