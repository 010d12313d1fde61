//! Binary values within JSON.

use {
    base64::{Engine as _, engine::general_purpose::STANDARD_NO_PAD},
    serde::{
        Deserialize, Deserializer, Serialize, Serializer,
        de::{self, DeserializeOwned},
        ser,
    },
    std::borrow::Cow,
};

/// A value that is serialized as a string: postcard encoding in unpadded base64.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Packed<T>(pub T);

impl<T> Serialize for Packed<T>
where
    T: Serialize,
{
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        let bytes = postcard::to_stdvec(&self.0).map_err(ser::Error::custom)?;
        serializer.serialize_str(&STANDARD_NO_PAD.encode(bytes))
    }
}

impl<'de, T> Deserialize<'de> for Packed<T>
where
    T: DeserializeOwned,
{
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = Cow::<'de, str>::deserialize(deserializer)?;
        let bytes = STANDARD_NO_PAD
            .decode(text.as_bytes())
            .map_err(de::Error::custom)?;
        postcard::from_bytes(&bytes)
            .map(Self)
            .map_err(de::Error::custom)
    }
}
