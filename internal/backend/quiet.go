package backend

import "syscall"

// quiet reports whether an idle connection still stands and brought nothing
// unasked. Where the connection is not a socket it is taken to be well.
func (k *conn) quiet() bool {
	if k.read.Buffered() > 0 {
		return false
	}
	sock, ok := k.raw.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sock.SyscallConn()
	if err != nil {
		return false
	}
	well := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, err := syscall.Read(int(fd), one[:])
		well = n < 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true // never wait
	})
	return err == nil && well
}
