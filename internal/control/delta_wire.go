package control

import (
	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/membership"
	peerv1 "ryecourse.example/ryecourse/internal/gen/peer/v1"
)

// setList adds the list to a response: as the change from the requester's revision if
// that revision is in the history, otherwise in full.
func (c *Control) setList(out *peerv1.ExchangeResponse, list *membership.List, baseRevision uint64) {
	base, ok := c.listHistory.get(baseRevision)
	if !ok {
		out.List = listToWire(list)
		return
	}
	ch := changeOf(base.VMs, list.VMs, vmKey)
	out.ListChange = &peerv1.VMListChange{
		Base:     baseRevision,
		Revision: list.Revision,
		Changed:  convert(ch.Changed, vmToWire),
		Removed:  ch.Removed,
	}
}

// listFromResponse returns the VM list of a response, or nil if the response has
// none or a change from another revision than base.
func listFromResponse(resp *peerv1.ExchangeResponse, base *membership.List) *membership.List {
	if resp.GetList() != nil {
		return listFromWire(resp.GetList())
	}
	wire := resp.GetListChange()
	if wire == nil || base == nil || base.Revision != wire.GetBase() {
		return nil
	}
	ch := change[membership.VM]{Changed: convert(wire.GetChanged(), vmFromWire), Removed: wire.GetRemoved()}
	return &membership.List{Revision: wire.GetRevision(), VMs: ch.apply(base.VMs, vmKey)}
}

// fullFilesResponse builds the response to a peer that listed its files: the full
// index, and the files that are missing from have.
func fullFilesResponse(set *catalog.FileSet, have []catalog.FileRevision) *peerv1.FetchFilesResponse {
	return &peerv1.FetchFilesResponse{
		ConfigVersion: set.Version,
		All:           revisionsToWire(set.Index),
		Files:         filesToWire(set.MissingFrom(have)),
	}
}

// changedFilesResponse builds the response to a peer that holds the files of base.
func changedFilesResponse(base, set *catalog.FileSet) *peerv1.FetchFilesResponse {
	ch := changeOf(base.Index, set.Index, fileKey)
	return &peerv1.FetchFilesResponse{
		ConfigVersion: set.Version,
		All:           revisionsToWire(ch.Changed),
		Files:         filesToWire(set.MissingFrom(base.Revisions())),
		Base:          base.Digest,
		Removed:       ch.Removed,
	}
}

// indexFromResponse returns the full index of the version that a response
// describes.
func indexFromResponse(resp *peerv1.FetchFilesResponse, base *catalog.FileSet) []catalog.FileRevision {
	names := revisionsFromWire(resp.GetAll())
	if resp.GetBase() == "" {
		return names
	}
	return change[catalog.FileRevision]{Changed: names, Removed: resp.GetRemoved()}.apply(base.Index, fileKey)
}
