package platform

import (
	"os"
	"os/user"
	"strconv"
	"syscall"
)

// fileOwner returns the user name of the file's owner, or an empty string if it is
// unknown.
func fileOwner(e os.DirEntry) string {
	info, err := e.Info()
	if err != nil {
		return ""
	}
	stat, ok := info.Sys().(*syscall.Stat_t)
	if !ok {
		return ""
	}
	owner, err := user.LookupId(strconv.Itoa(int(stat.Uid)))
	if err != nil {
		return ""
	}
	return owner.Username
}
