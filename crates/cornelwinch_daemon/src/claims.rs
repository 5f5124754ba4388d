use cornelwinch_platform::{Object, PlatformClient, PlatformError, Written};
use cornelwinch_tickets::{BucketReply, ClaimBucket};

/// Kind of the objects that hold claims.
const KIND: &str = "claim";

/// Reads a bucket of claims.
pub(crate) fn read(client: &PlatformClient, bucket: u32) -> BucketReply {
    match client.get(KIND, &object_name(bucket)) {
        Ok(object) => present(bucket, object),
        Err(error) => {
            log::info!("event=claims_read_failed bucket={bucket} error=\"{error}\"");
            BucketReply::Unavailable
        }
    }
}

/// Writes a bucket of claims if it still has the version. `change` must be
/// unique: it tells whether a write whose answer was lost was applied.
pub(crate) fn write(
    client: &PlatformClient,
    bucket: u32,
    version: u64,
    change: &str,
    value: &ClaimBucket,
) -> BucketReply {
    let spec = match serde_json::to_value(value) {
        Ok(spec) => spec,
        Err(error) => {
            log::error!("event=claims_encode_failed bucket={bucket} error=\"{error}\"");
            return BucketReply::Unavailable;
        }
    };
    let written = client.put(KIND, &object_name(bucket), version, change, &spec);
    match written {
        Ok(Written::Applied {
            object: Some(object),
        }) => BucketReply::Written {
            version: object.version,
        },
        Ok(Written::Conflict { present: now, .. } | Written::Overtaken { present: now, .. }) => {
            present(bucket, now)
        }
        // Without its version an applied write has to be read back.
        Ok(Written::Applied { object: None } | Written::NotApplied { .. }) => BucketReply::Lost,
        Err(error) => {
            log::info!("event=claims_write_failed bucket={bucket} error=\"{error}\"");
            match error {
                PlatformError::Unreachable { .. }
                | PlatformError::OverRate { .. }
                | PlatformError::Status { .. }
                | PlatformError::InvalidName { .. } => BucketReply::Unavailable,
                _ => BucketReply::Lost,
            }
        }
    }
}

fn object_name(bucket: u32) -> String {
    format!("bucket-{bucket:03}")
}

fn present(bucket: u32, object: Option<Object>) -> BucketReply {
    let Some(object) = object else {
        return BucketReply::Present {
            version: 0,
            value: ClaimBucket::default(),
        };
    };
    let spec = object.spec().cloned().unwrap_or_default();
    match serde_json::from_value(spec) {
        Ok(value) => BucketReply::Present {
            version: object.version,
            value,
        },
        // Taken as empty, the object would let its keys run again.
        Err(error) => {
            log::error!("event=claims_unreadable bucket={bucket} error=\"{error}\"");
            BucketReply::Unavailable
        }
    }
}
