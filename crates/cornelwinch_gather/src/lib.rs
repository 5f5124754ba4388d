//! Gathers one query over the shards of one snapshot.
