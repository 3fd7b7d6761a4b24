package discovery

import "golang.org/x/sys/unix"

// isClosed reports whether the peer of a socket has closed or reset the connection. It does not consume bytes.
func isClosed(fd uintptr) bool {
	n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n == 0 && err == nil || err != nil && err != unix.EAGAIN
}
