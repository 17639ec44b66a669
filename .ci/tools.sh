#!/usr/bin/env bash
# Installs the development tools at fixed versions, outside the product's go.mod.
# Prints the folder that holds them. Safe to call again: an installed version is kept.
set -euo pipefail

tools_dir="${LIMPETRAIL_TOOLS:-${XDG_CACHE_HOME:-$HOME/.cache}/limpetrail-tools}"

install_tool() {
  local name=$1 package=$2 version=$3
  local dir="$tools_dir/$name-$version"
  if [ ! -x "$dir/$name" ]; then
    GOBIN="$dir" GOFLAGS=-buildvcs=false go install "$package@$version" >&2
  fi
  mkdir -p "$tools_dir/bin"
  ln -sf "$dir/$name" "$tools_dir/bin/$name"
}

cd "$(dirname "${BASH_SOURCE[0]}")"
install_tool golangci-lint github.com/golangci/golangci-lint/v2/cmd/golangci-lint v2.15.0
install_tool buf github.com/bufbuild/buf/cmd/buf v1.75.0
install_tool protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go v1.36.12
install_tool protoc-gen-go-drpc storj.io/drpc/cmd/protoc-gen-go-drpc v1.1.0
install_tool wire github.com/google/wire/cmd/wire v0.7.0
echo "$tools_dir/bin"
