package backend

import "syscall"

// silent reports whether an idle connection is still open and has received nothing. A connection
// that is not a socket counts as silent.
func (k *conn) silent() bool {
	if k.reader.Buffered() > 0 {
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
		return true // do not wait for data
	})
	return err == nil && well
}
